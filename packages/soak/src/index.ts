export {buildProgram} from './build.js';
export {BREAKAGES, type Breakage} from './breakages.js';
export {FaultKind, drawPlan, type Fault} from './plan.js';
export {Link, LinkState} from './proxy.js';
export {
	ALWAYS, TIMED, judge, type Breach,
} from './promises.js';
export {
	CallEnd, CallKind, newRecords, type Call, type Records,
} from './records.js';
export {soak, type SoakOptions, type SoakResult} from './soak.js';
