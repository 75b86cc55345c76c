export {listChanges, type ChangeSpread} from './changes.js';
export {parsePattern, type LoadPattern} from './pattern.js';
export {
	LossCause, classifyRequest, countLosses, type LossCounts, type LossWindow, type Losses,
} from './losses.js';
export {recordPattern, type RecordOptions} from './record.js';
export {renderReport, type PolicyResult} from './report.js';
export {
	Experiment, type ExperimentResult, type Policy, type TimeSeriesPoint, type CallStats,
} from './experiment.js';
export {SimulatedWorker, type WorkItem} from './worker.js';
