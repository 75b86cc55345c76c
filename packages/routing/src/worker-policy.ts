import {Priority} from '@apricotwood/agreement';
import {blendByAge, type Sample} from './sample.js';

/** Snapshot of a worker as this host sees it, for scoring. */
export type WorkerView = {
	readonly name: string;
	readonly zone: string;
	/** Units free for new requests, after the adaptive limit; a candidate has at least 1. */
	readonly free: number;
	/** Units that may be in use at one time, after the adaptive limit. */
	readonly limit: number;
	/** Smoothed response latency, ms. */
	readonly latency: Sample | undefined;
	/** Load reported by the worker, 0 to 1. */
	readonly load: Sample | undefined;
};

/** The chosen worker. */
export type WorkerChoice = {
	readonly name: string;
	readonly score: number;
	/** Number of workers that were scored. */
	readonly considered: number;
};

/** Inputs shared by all scores of one choice. */
export type ScoreContext = {
	/** This host's availability zone. */
	readonly localZone: string;
	/** Unix ms. */
	readonly nowMs: number;
	/** Latency assumed for a worker without a recent sample, ms. */
	readonly assumedLatencyMs: number;
};

/** Scores workers; the worker with the lowest score is chosen. */
export interface WorkerPolicy {
	readonly name: string;
	score(view: WorkerView, context: ScoreContext): number;
}

/** A reported load of this age or older is ignored, ms. */
const MAX_LOAD_AGE_MS = 10_000;
/** A measured latency of this age or older is ignored, ms. */
const MAX_LATENCY_AGE_MS = 30_000;
/** Latency assumed when no candidate has been measured, ms. */
const DEFAULT_LATENCY_MS = 20;
/** Latency assumed for an unmeasured worker, as a ratio of the lowest measured one; below 1 so that the worker gets requests and can be measured. */
const UNMEASURED_LATENCY_FACTOR = 0.9;
/** Score penalty of a worker in another availability zone, ms. */
const REMOTE_ZONE_PENALTY_MS = 5;
/** Load assumed for a worker without a recent report, 0 to 1. */
const ASSUMED_LOAD = 0.5;

/** Prefers workers with low measured latency, and those in the local availability zone. */
export class LatencyPolicy implements WorkerPolicy {
	readonly name = Priority.Latency;

	score(view: WorkerView, {localZone, nowMs, assumedLatencyMs}: ScoreContext): number {
		const latencyMs = blendByAge(view.latency, assumedLatencyMs, nowMs, MAX_LATENCY_AGE_MS);
		const load = blendByAge(view.load, ASSUMED_LOAD, nowMs, MAX_LOAD_AGE_MS);
		const utilization = 1 - (view.free / Math.max(1, view.limit));
		const zonePenaltyMs = view.zone === localZone ? 0 : REMOTE_ZONE_PENALTY_MS;
		return zonePenaltyMs + (latencyMs * (1 + utilization) * (1 + clampLoad(load)));
	}
}

/** Prefers workers with spare capacity, by their free units and their reported load. */
export class HeadroomPolicy implements WorkerPolicy {
	readonly name = Priority.Headroom;

	score(view: WorkerView, {localZone, nowMs}: ScoreContext): number {
		const load = clampLoad(blendByAge(view.load, ASSUMED_LOAD, nowMs, MAX_LOAD_AGE_MS));
		const utilization = 1 - (view.free / Math.max(1, view.limit));
		const zonePenalty = view.zone === localZone ? 0 : 0.05;
		return (2 * utilization) + load + zonePenalty;
	}
}

/** Creates the policy for a priority of the agreement. */
export function createWorkerPolicy(priority: Priority): WorkerPolicy {
	switch (priority) {
		case Priority.Headroom: {
			return new HeadroomPolicy();
		}

		case Priority.Latency: {
			return new LatencyPolicy();
		}
	}
}

/** Chooses the worker with the lowest score among those with a free unit; on equal scores, the first. @returns `undefined` when no worker has a free unit. */
export function chooseWorker(policy: WorkerPolicy, views: Iterable<WorkerView>, localZone: string, nowMs: number): WorkerChoice | undefined {
	const candidates: WorkerView[] = [];
	let lowestLatencyMs = Number.POSITIVE_INFINITY;
	for (const view of views) {
		if (view.free >= 1) {
			candidates.push(view);
			lowestLatencyMs = Math.min(lowestLatencyMs, view.latency?.value ?? lowestLatencyMs);
		}
	}

	const assumedLatencyMs = Number.isFinite(lowestLatencyMs) ? lowestLatencyMs * UNMEASURED_LATENCY_FACTOR : DEFAULT_LATENCY_MS;
	const context: ScoreContext = {localZone, nowMs, assumedLatencyMs};
	let best: {name: string; score: number} | undefined;
	for (const view of candidates) {
		const score = policy.score(view, context);
		if (!best || score < best.score) {
			best = {name: view.name, score};
		}
	}

	return best && {...best, considered: candidates.length};
}

/** Limits a reported load to 0 to 1; a load that is not finite is replaced by the assumed one. */
function clampLoad(load: number): number {
	return Number.isFinite(load) ? Math.max(0, Math.min(1, load)) : ASSUMED_LOAD;
}
