import type {LogLine} from '@apricotwood/telemetry';
import type {LoadPattern} from './pattern.js';

export type RecordOptions = {
	/** Slots of a worker, by service; the logs do not tell them. */
	readonly slots: ReadonlyMap<string, number>;
	readonly defaultSlots: number;
	readonly roundTripMs: number;
};

/** Requests with less time to their target than this below the most of their route had been tried before, ms. */
const RETRY_TOLERANCE_MS = 20;
/** A route's time-out, as a multiple of its target, as the logs do not tell it. */
const TIMEOUT_TARGET_FACTOR = 5;
const DEFAULT_MEMORY_OBJECTS = 24;
const DEFAULT_WORK_TIMES_MS = [150, 450] as const;

type LearnedEstimates = {
	readonly memory?: Readonly<Record<string, number>>;
	readonly times?: Readonly<Record<string, readonly [number, number]>>;
};

/** Makes a pattern of the logs of all hosts: the first tries, and what the hosts had learnt in the end. */
export function recordPattern(lines: readonly LogLine[], regionOf: (zone: string) => string, options: RecordOptions): LoadPattern {
	const sorted = lines.toSorted((a, b) => a.at - b.at);
	const hosts = new Map(sorted.filter(({event}) => event === 'start').map(({self, zone}) => [self, String(zone)]));
	const zones = [...new Set([...hosts.values(), ...sorted.filter(({event}) => event === 'worker').map(({zone}) => String(zone))])].toSorted();
	const requests = sorted.filter(({event, route, ms, object}) => event === 'request' && route !== undefined && ms !== undefined && object !== undefined);
	const targets = inferTargets(requests);
	const beliefs = sorted.filter(({event}) => event === 'beliefs') as LearnedEstimates[];
	const routes = [...targets].map(([key, targetMs]) => {
		const [, service] = key.split(' ') as [string, string];
		const [warmMs, coldMs] = findLatest(beliefs, ({times}) => times?.[key]) ?? DEFAULT_WORK_TIMES_MS;
		return {
			name: key, service, targetMs, timeoutMs: targetMs * TIMEOUT_TARGET_FACTOR, priority: 1, warmMs, coldMs,
		};
	});
	const index = new Map(routes.map(({name}, position) => [name, position]));
	const startMs = Number(requests[0]?.at ?? 0);
	const arrivals: LoadPattern['arrivals'] = [];
	for (const line of requests) {
		const key = formatRouteKey(line);
		if (Number(line.targetLeftMs) + Number(line.ms) >= targets.get(key)! - RETRY_TOLERANCE_MS) {
			arrivals.push([Math.max(0, line.at - Number(line.ms) - startMs), index.get(key)!, String(line.object), zones.indexOf(hosts.get(line.self) ?? zones[0]!)]);
		}
	}

	return {
		regions: Object.fromEntries(zones.map(zone => [zone, regionOf(zone)])),
		roundTripMs: options.roundTripMs,
		services: collectServices(sorted, beliefs, options),
		routes,
		arrivals: arrivals.toSorted((a, b) => a[0] - b[0]),
	};
}

function formatRouteKey({route, service}: LogLine): string {
	return `${String(route)} ${String(service)}`;
}

/** Targets by route and service: what a first try has left and has used makes the whole. */
function inferTargets(requests: readonly LogLine[]): Map<string, number> {
	const targets = new Map<string, number>();
	for (const line of requests) {
		const key = formatRouteKey(line);
		targets.set(key, Math.max(targets.get(key) ?? 1, Number(line.targetLeftMs) + Number(line.ms)));
	}

	return targets;
}

function collectServices(lines: readonly LogLine[], beliefs: readonly LearnedEstimates[], {slots, defaultSlots}: RecordOptions): LoadPattern['services'] {
	const services = new Map<string, Map<string, string>>();
	for (const {event, service, worker, zone, state} of lines) {
		if (event === 'worker' && state === 'ready') {
			const workers = services.get(String(service)) ?? new Map<string, string>();
			services.set(String(service), workers.set(String(worker), String(zone)));
		}
	}

	return Array.from(services, ([name, workers]) => ({
		name,
		memory: findLatest(beliefs, ({memory}) => memory?.[name]) ?? DEFAULT_MEMORY_OBJECTS,
		workers: Array.from(workers, ([id, zone]) => ({id, zone, slots: slots.get(name) ?? defaultSlots})),
	}));
}

function findLatest<T>(beliefs: readonly LearnedEstimates[], read: (one: LearnedEstimates) => T | undefined): T | undefined {
	return beliefs.map(one => read(one)).findLast(value => value !== undefined);
}
