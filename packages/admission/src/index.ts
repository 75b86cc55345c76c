export {AdaptiveLimit, type AdaptiveLimitOptions} from './limit.js';
export {
	AttemptBudget, HEDGE_BUDGET, RETRY_BUDGET, type AttemptBudgetOptions,
} from './budget.js';
export {BodyBuffer} from './intake/body-buffer.js';
export {ClientErrorStatus, answerClientErrors, formatEmptyAnswer} from './intake/client-error-responder.js';
export {ConnectionGuard, type GuardLimits, type GuardListener} from './intake/connection-guard.js';
export {Intake, type IntakeDeps} from './intake/intake.js';
export {EvictionReason} from './intake/eviction.js';
export {IntakeAccount} from './intake/intake-account.js';
export {
	DEFAULT_INTAKE_SHARES, DEFAULT_PROCESS_RESOURCES, computeIntakeLimits, type IntakeLimits, type IntakeShares, type ProcessResources,
} from './intake/intake-limits.js';
export {type PeerConnection} from './intake/peer-connection.js';
export {type BodyHolding, type RequestHolding} from './intake/request-holding.js';
export {BodyFlow, ReadPacer, hasBody} from './intake/body-flow.js';
export {HeldBytes, LongBody, type LongBodyOptions} from './intake/long-body.js';
export {TurnBudget} from './intake/turn-budget.js';
export {resetSocket} from './intake/reset-socket.js';
export {QuantileEstimator} from './quantile.js';
export {WaitQueue, WaitResult, type WaitQueueOptions} from './queue.js';
export {WorkerEvent, WorkerLifecycle, WorkerPhase} from './lifecycle.js';
