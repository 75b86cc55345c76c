export type {
	AnswerHeaders, AnswerSigns, CallerSigns, CheckSigns, Dialect, ReportedLoad,
} from './dialect.js';
export {EntryHost, type EntryDeps, type EntrySettings} from './host/host.js';
export {HostPhase} from './host/phase.js';
export type {
	HostEntry, OperationsUpdate, SteeringSource, WorkersUpdate,
} from './source.js';
