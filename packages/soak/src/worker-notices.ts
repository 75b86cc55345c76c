import {createSignature} from '@apricotwood/platform/standin';
import {
	CallEnd, isUndisturbed, type Arrival, type BackoffPeriod, type Call, type SoakRecords, type WorkerPeriod,
} from './records.js';
import type {Violation} from './violation.js';

/** Time after a host has forwarded a response which says that the worker is leaving, from which calls that are sent must not reach the worker from there, ms. */
const DRAIN_MS = 2000;
/** Time after a worker has told a host to wait from which requests count, ms. */
const BACKOFF_GRACE_MS = 500;
/** Requests that may reach the worker from one host between then and the end of the time. */
const MAX_REQUESTS_IN_BACKOFF = 2;

/** A worker that says in its responses that it is leaving gets nothing more from the hosts that have forwarded one, whatever the store says. */
export function checkLeavings(records: SoakRecords): Violation[] {
	return records.leavings.flatMap(period => checkLeaving(records, period));
}

/** A worker that has told a host to wait gets hardly anything from it before. */
export function checkBackoffs(records: SoakRecords): Violation[] {
	return records.backoffs.flatMap(period => checkBackoff(records, period));
}

function checkLeaving(records: SoakRecords, {worker, fromMs, untilMs}: WorkerPeriod): Violation[] {
	const toldAtMs = new Map<string, number>();
	for (const {host, signature, end, sentAtMs, endAtMs} of records.calls) {
		if (signature === createSignature(worker) && end === CallEnd.Answered && sentAtMs >= fromMs && endAtMs < untilMs) {
			toldAtMs.set(host, Math.min(endAtMs, toldAtMs.get(host) ?? endAtMs));
		}
	}

	const violations: Violation[] = [];
	for (const {call, arrival: {atMs}, sender} of listArrivals(records, worker)) {
		const toldMs = toldAtMs.get(sender);
		if (toldMs !== undefined && call.sentAtMs > toldMs + DRAIN_MS && atMs < untilMs && isComparable(records, toldMs, atMs, worker, sender)) {
			violations.push({promise: 'leaving', subject: call.id, message: `reached ${worker} from ${sender}, sent ${call.sentAtMs - toldMs} ms after this host had forwarded a response which says that the worker is leaving`});
		}
	}

	return violations;
}

function checkBackoff(records: SoakRecords, {worker, retryAfterMs, fromMs, untilMs}: BackoffPeriod): Violation[] {
	const requests = listArrivals(records, worker);
	for (const {sender, arrival: {atMs}} of requests) {
		if (atMs < fromMs || atMs >= untilMs) {
			continue;
		}

		const endMs = atMs + retryAfterMs;
		const early = requests.filter(request => request.sender === sender && request.arrival.atMs >= atMs + BACKOFF_GRACE_MS && request.arrival.atMs < endMs);
		if (early.length > MAX_REQUESTS_IN_BACKOFF && isComparable(records, atMs, endMs, worker, sender)) {
			return [{promise: 'backoff', subject: worker, message: `told ${sender} to wait ${retryAfterMs} ms and got ${early.length} requests from it in that time`}];
		}
	}

	return [];
}

/** A request that reached a worker, with the host that sent it. */
type ReceivedRequest = {
	readonly call: Call;
	readonly arrival: Arrival;
	readonly sender: string;
};

function listArrivals({calls, arrivals}: SoakRecords, worker: string): ReceivedRequest[] {
	const callsById = new Map(calls.map(call => [call.id, call]));
	return arrivals.filter(arrival => arrival.worker === worker && callsById.has(arrival.id)).map(arrival => {
		const call = callsById.get(arrival.id)!;
		return {call, arrival, sender: arrival.sender ?? call.host};
	});
}

/** Whether the host knows the promise and has not forgotten what it was told, and the worker has not started again. */
function isComparable(records: SoakRecords, fromMs: number, untilMs: number, worker: string, host: string): boolean {
	const isRestarted = records.notices.some(notice => notice.subject === worker && notice.atMs <= untilMs && (notice.untilMs ?? untilMs) >= fromMs);
	const isOldBuild = records.oldBuilds.some(build => build.host === host && build.fromMs <= untilMs && build.untilMs >= fromMs);
	return !isRestarted && !isOldBuild && isUndisturbed(records, fromMs, untilMs, [worker, host]);
}
