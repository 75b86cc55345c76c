export {AdaptiveLimit, type AdaptiveLimitOptions} from './limit.js';
export {
	AttemptBudget, HEDGE_BUDGET, RETRY_BUDGET, type AttemptBudgetOptions,
} from './budget.js';
export {HeldBytes, LongBody} from './long-body.js';
export {QuantileEstimator} from './quantile.js';
export {WaitQueue, WaitResult, type WaitQueueOptions} from './queue.js';
export {WorkerEvent, WorkerLifecycle, WorkerPhase} from './lifecycle.js';
