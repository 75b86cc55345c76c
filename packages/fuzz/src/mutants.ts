import {Buffer} from 'node:buffer';
import type {Socket} from 'node:net';
import type {Clock} from '@apricotwood/clock';
import {createTcpConnector, type Connector, type Dialect, type SteeringSource} from '@apricotwood/entry';
import {RequestKind, type SteeringConfig} from '@apricotwood/steering';
import {StreamEnd} from './caller/response-reader.js';
import type {CallerOptions} from './caller/caller.js';
import type {HostParts} from './host-rig.js';
import {RuleName} from './oracle.js';
import {PartName} from './part-name.js';

/** A deliberate break of what the product is given, or of what it gives. */
export type Mutant = {
	/** Called for each host. */
	readonly wrapSource?: (source: SteeringSource) => SteeringSource;
	/** Called for each host. */
	readonly changeParts?: (parts: HostParts) => HostParts;
	readonly caller?: CallerOptions;
};

/** A mutant, and what has to find it. */
export type KnownMutant = {
	readonly rule: RuleName;
	readonly part: PartName;
	readonly mutant: Mutant;
};

/** No break. */
export const NO_MUTANT: Mutant = {};

/** Longest timer that fires with `no-timeouts`, ms. */
const LONGEST_TIMER_MS = 300;

/** Mutants by name; the names are part of the command. */
export const MUTANTS: Readonly<Record<string, KnownMutant>> = {
	'ids-not-compared': {rule: RuleName.Mixed, part: PartName.Worker, mutant: {changeParts: parts => ({...parts, connector: createConnector(nameAllAnswersAlike)})}},
	'cut-looks-whole': {
		rule: RuleName.Mixed, part: PartName.Worker, mutant: {caller: {changeAnswer: answer => answer.response ? {...answer, response: {...answer.response, isWhole: true}} : answer}},
	},
	'answers-written-twice': {rule: RuleName.Order, part: PartName.Worker, mutant: {caller: {repeatsAnswers: true}}},
	'all-repeated': {
		rule: RuleName.Twice, part: PartName.Worker, mutant: {
			wrapSource: source => changeConfig(source, config => ({...config, routes: config.routes.map(route => ({...route, kind: RequestKind.Idempotent}))})),
		},
	},
	'failures-not-run': {rule: RuleName.Refused, part: PartName.Worker, mutant: {changeParts: parts => ({...parts, dialect: believeFailuresNotRun(parts.dialect)})}},
	'failures-told-not-run': {
		rule: RuleName.Refused, part: PartName.Worker, mutant: {caller: {changeAnswer: answer => answer.response?.status === 502 ? {...answer, response: {...answer.response, status: 503}} : answer}},
	},
	'paths-changed': {rule: RuleName.Unasked, part: PartName.Worker, mutant: {changeParts: parts => ({...parts, connector: createConnector(changePaths)})}},
	'route-unknown': {
		rule: RuleName.Denied, part: PartName.Worker, mutant: {
			wrapSource: source => changeConfig(source, config => ({...config, routes: config.routes.filter(({kind}) => kind !== RequestKind.Upload)})),
		},
	},
	'no-timeouts': {rule: RuleName.Lost, part: PartName.Worker, mutant: {changeParts: parts => ({...parts, clock: dropLongTimers(parts.clock)})}},
	'failures-closed': {
		rule: RuleName.Lost, part: PartName.Worker, mutant: {caller: {changeAnswer: answer => answer.response?.status === 502 ? {...answer, response: undefined, end: StreamEnd.Closed} : answer}},
	},
	'odd-ports-used': {rule: RuleName.Ends, part: PartName.Rows, mutant: {wrapSource: useUnreadableWorkers}},
	'odd-row-ends-reading': {rule: RuleName.Serves, part: PartName.Rows, mutant: {wrapSource: stopAtUnreadableWorker}},
};

/** Opens TCP connections whose sockets are changed before they are used. */
function createConnector(change: (socket: Socket) => void): Connector {
	const connect = createTcpConnector();
	return (options, callback) => {
		connect(options, (...args) => {
			if (args[1]) {
				change(args[1]);
			}

			callback(...args);
		});
	};
}

/** Each answer bears the id of the last request, whosever it is. The length stays as it is. */
function nameAllAnswersAlike(socket: Socket): void {
	let id = '';
	const write = socket.write.bind(socket) as (...args: unknown[]) => boolean;
	socket.write = (...args: unknown[]) => {
		id = /Request-Id: (\w+)/.exec(String(args[0]))?.[1] ?? id;
		return write(...args);
	};

	const read = socket.read.bind(socket);
	socket.read = size => {
		const chunk = read(size) as Buffer | null;
		return chunk === null ? null : Buffer.from(chunk.toString('latin1').replaceAll(/(?<=Request-Id: )\w+/g, name => id.padEnd(name.length)), 'latin1');
	};
}

/** Requests to one route get the path of another. */
function changePaths(socket: Socket): void {
	const write = socket.write.bind(socket) as (...args: unknown[]) => boolean;
	socket.write = ((chunk: unknown, ...args: unknown[]) => write(typeof chunk === 'string' ? chunk.replace('/load/', '/book/') : chunk, ...args));
}

function changeConfig(source: SteeringSource, change: (config: SteeringConfig) => SteeringConfig): SteeringSource {
	return {
		...bindSource(source),
		async readOperations(after, signal) {
			const update = await source.readOperations(after, signal);
			return {...update, config: update.config && change(update.config)};
		},
	};
}

function believeFailuresNotRun(dialect: Dialect): Dialect {
	return {
		...bindDialect(dialect),
		parseResponseHeaders(status, headers) {
			const metadata = dialect.parseResponseHeaders(status, headers);
			return {...metadata, isNotRun: metadata.isNotRun || status >= 400};
		},
	};
}

function dropLongTimers(clock: Clock): Clock {
	return {
		now: () => clock.now(),
		monotonic: () => clock.monotonic(),
		after: (delayMs, callback) => delayMs > LONGEST_TIMER_MS ? {cancel() {}} : clock.after(delayMs, callback),
	};
}

/** Workers whose entry cannot be read are used, with a port out of range. */
function useUnreadableWorkers(source: SteeringSource): SteeringSource {
	return {
		...bindSource(source),
		async readWorkers(after, signal) {
			const update = await source.readWorkers(after, signal);
			const odd = update.removed.map(id => ({
				id, service: 'board', address: '127.0.0.1:99999', zone: 'a1', slots: 4, state: 'ready', coldMs: 0, bornMs: 1, sequence: 1,
			}));
			return {...update, changed: [...update.changed, ...odd] as typeof update.changed, removed: []};
		},
	};
}

function stopAtUnreadableWorker(source: SteeringSource): SteeringSource {
	let hasMetOne = false;
	return {
		...bindSource(source),
		async readWorkers(after, signal) {
			const update = await source.readWorkers(after, signal);
			hasMetOne ||= update.removed.length > 0;
			if (hasMetOne) {
				throw new Error('an entry cannot be read');
			}

			return update;
		},
	};
}

function bindSource(source: SteeringSource): SteeringSource {
	return {
		readWorkers: async (after, signal) => source.readWorkers(after, signal),
		readOperations: async (after, signal) => source.readOperations(after, signal),
		register: async (host, signal) => source.register(host, signal),
		readHosts: async signal => source.readHosts(signal),
	};
}

function bindDialect(dialect: Dialect): Dialect {
	return {
		managedHeaders: dialect.managedHeaders,
		parseRequestHeaders: headers => dialect.parseRequestHeaders(headers),
		buildWorkerHeaders: (worker, remainingMs) => dialect.buildWorkerHeaders(worker, remainingMs),
		buildForwardHeaders: remainingMs => dialect.buildForwardHeaders(remainingMs),
		parseResponseHeaders: (status, headers) => dialect.parseResponseHeaders(status, headers),
		parseHealthCheck: (status, headers) => dialect.parseHealthCheck(status, headers),
	};
}
