export {buildProgram} from './build.js';
export {BREAKAGES, type Breakage} from './breakages.js';
export {countUncompared} from './isolation.js';
export {FaultKind, generatePlan, type Fault} from './plan.js';
export {Link, LinkState} from './proxy.js';
export {
	UNTIMED_PROMISES, TIMED_PROMISES, checkPromises,
} from './promises.js';
export {WorkTimes} from './work-times.js';
export type {Violation} from './violation.js';
export {
	CallEnd, CallKind, createRecords, type Call, type SoakRecords,
} from './records.js';
export {countServedAroundStops} from './served-shares.js';
export {runSoak, type SoakOptions, type SoakResult} from './soak.js';
