export {
	LogFormat, LogLevel, NOOP_LOG, createLog, type Log, type LogFields, type LogLine, type LogOptions,
} from './log.js';
export {BatchSink, MemorySink, type LineSink} from './sink.js';
export {Metrics} from './metrics.js';
export {createStatsdClient, type StatsdOptions} from './statsd.js';
