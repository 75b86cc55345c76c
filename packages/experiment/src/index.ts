export {parsePattern, type LoadPattern} from './pattern.js';
export {recordPattern, type RecordOptions} from './record.js';
export {renderReport, type NamedResult} from './report.js';
export {
	Experiment, type ExperimentResult, type Policy, type Second, type Tally,
} from './run.js';
export {ModelWorker, type Work} from './worker.js';
