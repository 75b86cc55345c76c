import {inspect} from 'node:util';
import {Logger} from 'tslog';
import type {Clock} from '@apricotwood/clock';
import type {LineSink} from './sink.js';

/** Output format of log lines. */
export enum LogFormat {
	Json = 'json',
	Pretty = 'pretty',
}

/** Severity of a log line, as a tslog level number. */
export enum LogLevel {
	Debug = 2,
	Info = 3,
	Warn = 4,
	Error = 5,
}

/** Options of `createLog`. */
export type LogOptions = {
	readonly format: LogFormat;
	/** Minimum severity that is logged. */
	readonly level: LogLevel;
	readonly sink: LineSink;
	readonly clock: Clock;
	/** Fields added to every line, such as the host's id. The pretty format adds only their values. */
	readonly fields: Readonly<Record<string, string>>;
};

/** Fields of one log line. `event` is one of the names listed in the operator documentation. */
export type LogFields = {readonly event: string} & Readonly<Record<string, unknown>>;

/** One parsed line of a host's JSON log. */
export type LogLine = {
	/** Unix ms. */
	readonly at: number;
	/** Id of the host. */
	readonly self: string;
	readonly event: string;
} & Readonly<Record<string, unknown>>;

/** Structured logger. Each call writes one line. */
export interface Log {
	debug(fields: LogFields): void;
	info(fields: LogFields): void;
	warn(fields: LogFields): void;
	error(fields: LogFields): void;
}

/**
 * Creates a logger backed by tslog. The JSON format bypasses tslog's masking,
 * cloning and source position capture, which cost more than handling a complete
 * lookup request.
 */
export function createLog(options: LogOptions): Log {
	return options.format === LogFormat.Json ? createJsonLog(options) : createPrettyLog(options);
}

function createJsonLog({level, sink, clock, fields}: LogOptions): Log {
	const commonJson = JSON.stringify(fields).slice(1, -1);
	const commonSuffix = commonJson === '' ? '' : `,${commonJson}`;
	return new Logger<LogFields>({
		type: 'json',
		minLevel: level,
		hideLogPositionForProduction: true,
		overwrite: {
			mask: args => args,
			toLogObj: args => args[0] as LogFields,
			addMeta: (logObject, _id, levelName) => wrapLine(logObject, levelName),
			transportJSON(logObject) {
				const {fields: lineFields, levelName} = logObject as {fields: LogFields; levelName: string};
				sink.write(`{"at":${clock.now()},"level":"${levelName}"${commonSuffix},${JSON.stringify(lineFields).slice(1)}`);
			},
		},
	});
}

/** Builds the object that tslog passes from `addMeta` to the transport. The cast is needed because tslog's types expect the fields and the metadata in one object. */
function wrapLine(fields: LogFields, levelName: string): never {
	const line: unknown = {fields, levelName};
	return line as never;
}

function createPrettyLog({level, sink, fields}: LogOptions): Log {
	return new Logger<LogFields>({
		type: 'pretty',
		minLevel: level,
		hideLogPositionForProduction: true,
		prettyLogTemplate: `{{yyyy}}-{{mm}}-{{dd}} {{hh}}:{{MM}}:{{ss}}.{{ms}} {{logLevelName}} ${Object.values(fields).join(' ')} `,
		overwrite: {
			transportFormatted(meta, args) {
				sink.write(meta + args.map(arg => typeof arg === 'string' ? arg : inspect(arg, {breakLength: Infinity})).join(' '));
			},
		},
	});
}

/** Logger that discards all lines. */
export const NOOP_LOG: Log = {
	debug() {},
	info() {},
	warn() {},
	error() {},
};
