export {
	DEFAULT_LIMITS, RequestKind, type CallerLimits, type Route, type ServiceShare, type ServiceSpec, type SteeringConfig,
} from './config.js';
export {RouteTable} from './routes.js';
export {ServiceSplit} from './split.js';
export {
	Fleet, WorkerState, type Worker, type WorkerEntry,
} from './fleet.js';
export {WarmObjects, Warmth, hashObject} from './warmth.js';
export {LoadView} from './load.js';
export {ColdLimit} from './cold.js';
export {Distances} from './distances.js';
export {RepeatBudget, type RepeatBounds} from './repeats.js';
export {ServiceTimes, type WorkTimes} from './times.js';
export {AttemptSign, WorkerJudge} from './judge.js';
export {
	Placer, PlacementReason, Verdict, type Placement, type PlacementRequest, type PlacerOptions, type PlacerParts,
} from './placer.js';
export {
	WaitingList, returnAfterMs, waitUntilMs, type Waiter,
} from './waiting.js';
