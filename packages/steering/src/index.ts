// Placement of the requests that arrive at an entry host: route, service, worker, waiting and retries.
// The choice of the region and of the entry host for a caller is in `@apricotwood/routing`.
export {
	DEFAULT_CALLER_LIMITS, RequestKind, type CallerLimits, type Route, type ServiceShare, type ServiceSpec, type SteeringConfig,
} from './config.js';
export {BackoffTracker} from './backoff-tracker.js';
export {DrainTracker, type DrainReport} from './drain-tracker.js';
export {RouteTable} from './routes.js';
export {
	CrashTracker, CrashVerdict, SUSPECT_CRASHES, type CrashHistory, type CrashReport,
} from './crash-tracker.js';
export type {TrialReport} from './crash-trials.js';
export {TrafficSplitter} from './traffic-splitter.js';
export {
	Fleet, WorkerState, type Worker, type WorkerRegistration,
} from './fleet.js';
export {CacheState, ObjectCacheModel, hashObject} from './object-cache.js';
export {LoadTracker} from './load.js';
export {type WorkerRankingOptions} from './worker-ranking.js';
export {WorkerRateLimiter, type SendingHost, type SendingHosts} from './rate-limiter.js';
export {RateLimitTracker, type RateLimit} from './rate-limits.js';
export {WarmupLimiter} from './warmup-limiter.js';
export {RoundTripTimes} from './round-trip-times.js';
export {ReportInterval} from './report-interval.js';
export {ReachabilityTracker} from './reachability.js';
export {RetryBudget, type RetryBudgetOptions} from './retry-budget.js';
export {ServiceTimeEstimator, type ExpectedTimes} from './service-times.js';
export {ShutdownDeadline} from './shutdown-deadline.js';
export {
	SendPurpose, Unavailability, WorkerAvailability, type Obstacle, type WorkerAvailabilityDeps,
} from './worker-availability.js';
export {AttemptOutcome, WorkerHealthTracker} from './worker-health.js';
export {
	PlacementAction, PlacementReason, type Placement, type PlacementRequest,
} from './placement.js';
export {Placer, type PlacerDeps} from './placer.js';
export {
	WaitingRequests, computeRetryAfterMs, computeWaitUntilMs, type Waiter,
} from './waiting.js';
