export {
	LogFormat, LogLevel, SILENT_LOG, createLog, type Log, type LogFields, type LogOptions,
} from './log.js';
export {BatchSink, MemorySink, type LineSink} from './sink.js';
export {Metrics, type MetricsOptions} from './metrics.js';
