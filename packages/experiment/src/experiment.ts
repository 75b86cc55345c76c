import {FakeClock, type Random} from '@apricotwood/clock';
import {computeRetryAfterMs, type WorkerRankingOptions} from '@apricotwood/steering';
import {
	SimulatedHost, RequestEnd, toRoute, type CallerRequest, type RequestResult,
} from './host.js';
import type {LoadPattern} from './pattern.js';
import {SimulatedWorker} from './worker.js';

/** Placement policy to evaluate: options of the product's `Placer`. */
export type Policy = Omit<WorkerRankingOptions, 'region'>;

/** Outcomes of the calls of one route. */
export type CallStats = {
	/** Calls started. */
	calls: number;
	/** Answered before the target. */
	inTime: number;
	/** Answered after the target and before the timeout. */
	late: number;
	/** Not answered before the timeout. */
	lost: number;
	/** Answered by a worker that had the object in memory, even if after the timeout. */
	warm: number;
	/** Total time that requests, retries included, waited at hosts, ms. */
	waitedMs: number;
};

/** Values of one service in one region during one second. */
export type TimeSeriesPoint = {
	/** Running and queued requests at the workers, mean over the samples. */
	load: number;
	/** Number of samples in `load`. */
	samples: number;
	/** Total time that requests, counted when they end, waited at hosts, ms. */
	waitedMs: number;
	/** Answered and rejected requests, retries included. */
	tries: number;
	rejected: number;
};

/** Outcome of one replay. */
export type ExperimentResult = {
	/** By name of the route. */
	readonly routes: ReadonlyMap<string, CallStats>;
	/** Sum over all routes. */
	readonly total: CallStats;
	/** By service and region, separated by a space; one point per second since the start. */
	readonly timeSeries: ReadonlyMap<string, TimeSeriesPoint[]>;
	/** Value of all answers relative to the number of calls, 0 to 1; a late answer counts `LATE_ANSWER_VALUE`. */
	readonly value: number;
};

/** Value of an answer after the target, relative to one before it. */
const LATE_ANSWER_VALUE = 0.2;
/** Interval of the state exchange between hosts, ms. */
const EXCHANGE_INTERVAL_MS = 200;
/** Interval of load samples, ms. */
const SAMPLE_INTERVAL_MS = 100;
const MS_PER_SECOND = 1000;

/** Replays a load pattern against simulated hosts and workers; deterministic for a given sequence of random numbers. */
export class Experiment {
	readonly #clock = new FakeClock(0);
	readonly #workers = new Map<string, SimulatedWorker>();
	readonly #hosts: SimulatedHost[];
	readonly #routes = new Map<string, CallStats>();
	readonly #timeSeries = new Map<string, TimeSeriesPoint[]>();
	#nextArrivalIndex = 0;

	constructor(private readonly pattern: LoadPattern, policy: Policy, private readonly random: Random) {
		for (const {memory, workers} of pattern.services) {
			for (const {id, slots} of workers) {
				this.#workers.set(id, new SimulatedWorker(id, slots, memory, this.#clock, random));
			}
		}

		this.#hosts = Object.keys(pattern.regions).map(zone => new SimulatedHost(zone, pattern, policy, this.#workers, this.#clock, random));
		for (const {name} of pattern.routes) {
			this.#routes.set(name, createCallStats());
		}
	}

	/** Replays the whole pattern. Call it only once. */
	run(): ExperimentResult {
		const {arrivals, routes} = this.pattern;
		const endMs = (arrivals.at(-1)?.[0] ?? 0) + Math.max(0, ...routes.map(({timeoutMs}) => timeoutMs));
		this.#exchangeState(endMs);
		this.#sampleLoad(endMs);
		this.#scheduleNextArrival();
		this.#clock.advance(endMs + 1);
		const total = createCallStats();
		for (const stats of this.#routes.values()) {
			stats.lost = stats.calls - stats.inTime - stats.late;
			for (const key of Object.keys(total) as Array<keyof CallStats>) {
				total[key] += stats[key];
			}
		}

		return {
			routes: this.#routes, total, timeSeries: this.#timeSeries, value: (total.inTime + (LATE_ANSWER_VALUE * total.late)) / Math.max(1, total.calls),
		};
	}

	/** Schedules the next arrival; each arrival schedules its successor, so that few timers are pending. */
	#scheduleNextArrival(): void {
		const arrival = this.pattern.arrivals[this.#nextArrivalIndex];
		if (!arrival) {
			return;
		}

		this.#nextArrivalIndex++;
		this.#clock.after(Math.max(0, arrival[0] - this.#clock.monotonic()), () => {
			this.#startCall(arrival);
			this.#scheduleNextArrival();
		});
	}

	#startCall([, routeIndex, object, zoneIndex]: LoadPattern['arrivals'][number]): void {
		const route = this.pattern.routes[routeIndex]!;
		const nowMs = this.#clock.monotonic();
		this.#routes.get(route.name)!.calls++;
		this.#sendRequest({
			route: toRoute(route), times: route, service: route.service, object, targetAtMs: nowMs + route.targetMs, endAtMs: nowMs + route.timeoutMs, isRetry: false,
		}, this.#hosts[zoneIndex]!);
	}

	#sendRequest(req: CallerRequest, host: SimulatedHost): void {
		host.serve(req, result => {
			this.#recordResult(req, host, result);
			const leftMs = req.endAtMs - this.#clock.monotonic();
			if (result.end === RequestEnd.Rejected && !req.isRetry && leftMs > 0) {
				this.#clock.after(computeRetryAfterMs(result.availableInMs, leftMs, this.random), () => {
					this.#sendRequest({...req, isRetry: true}, host);
				});
			}
		});
	}

	#recordResult({route, service, targetAtMs, endAtMs}: CallerRequest, {zone}: SimulatedHost, {end, wasWarm, waitedMs}: RequestResult): void {
		const stats = this.#routes.get(route.name)!;
		const nowMs = this.#clock.monotonic();
		const point = this.#currentPoint(service, this.pattern.regions[zone]!);
		stats.waitedMs += waitedMs;
		point.waitedMs += waitedMs;
		point.tries++;
		if (end === RequestEnd.Rejected) {
			point.rejected++;
			return;
		}

		stats.warm += Number(wasWarm);
		if (nowMs <= targetAtMs) {
			stats.inTime++;
		} else if (nowMs <= endAtMs) {
			stats.late++;
		}
	}

	#currentPoint(service: string, region: string): TimeSeriesPoint {
		const key = `${service} ${region}`;
		let points = this.#timeSeries.get(key);
		if (!points) {
			points = [];
			this.#timeSeries.set(key, points);
		}

		const secondIndex = Math.floor(this.#clock.monotonic() / MS_PER_SECOND);
		for (let index = points.length; index <= secondIndex; index++) {
			points.push({
				load: 0, samples: 0, waitedMs: 0, tries: 0, rejected: 0,
			});
		}

		return points[secondIndex]!;
	}

	/** Exchanges running requests and recent placements between hosts, as the product does. */
	#exchangeState(endMs: number): void {
		const nowMs = this.#clock.monotonic();
		for (const host of this.#hosts) {
			const counts = new Map(host.load.getOwnCounts());
			for (const other of this.#hosts) {
				if (other !== host) {
					other.load.recordPeer(host.zone, counts, nowMs);
					other.warm.recordAll(host.sentSinceExchange);
				}
			}

			host.sentSinceExchange = [];
		}

		if (nowMs < endMs) {
			this.#clock.after(EXCHANGE_INTERVAL_MS, () => {
				this.#exchangeState(endMs);
			});
		}
	}

	#sampleLoad(endMs: number): void {
		for (const {name, workers} of this.pattern.services) {
			const loads = new Map<string, number>();
			for (const {id, zone} of workers) {
				const region = this.pattern.regions[zone]!;
				const {running, queued} = this.#workers.get(id)!;
				loads.set(region, (loads.get(region) ?? 0) + running + queued);
			}

			for (const [region, load] of loads) {
				const point = this.#currentPoint(name, region);
				point.samples++;
				point.load += (load - point.load) / point.samples;
			}
		}

		if (this.#clock.monotonic() < endMs) {
			this.#clock.after(SAMPLE_INTERVAL_MS, () => {
				this.#sampleLoad(endMs);
			});
		}
	}
}

function createCallStats(): CallStats {
	return {
		calls: 0, inTime: 0, late: 0, lost: 0, warm: 0, waitedMs: 0,
	};
}
