export {AdaptiveLimit, type LimitOptions} from './limit.js';
export {
	AttemptBudget, HEDGE_BUDGET, RETRY_BUDGET, type BudgetOptions,
} from './budget.js';
export {QuantileEstimate} from './quantile.js';
export {WaitQueue, WaitResult, type QueueOptions} from './queue.js';
export {WorkerEvent, WorkerLifecycle, WorkerPhase} from './lifecycle.js';
