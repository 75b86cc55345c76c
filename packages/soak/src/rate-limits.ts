import {createSignature} from '@apricotwood/platform/standin';
import {
	CallEnd, isUndisturbed, type Arrival, type LimitPeriod, type SoakRecords,
} from './records.js';
import type {Violation} from './violation.js';

/** Time after a worker has first named a limit from which it binds, ms. */
const LEARNING_MS = 3000;
/** Length of the windows in which requests are counted, ms. */
const WINDOW_MS = 4000;
/** Time after a host has forwarded a response with the limit from which its requests count, ms. */
const TOLD_MARGIN_MS = 500;
/** Allowed requests in a window: this factor times the limit, and some more. */
const OVERAGE_FACTOR = 1.5;
const EXTRA_REQUESTS = 5;
const MS_PER_SECOND = 1000;

/** All hosts together keep to the limit that a worker names. */
export function checkRateLimits(records: SoakRecords): Violation[] {
	return records.limits.flatMap(period => checkPeriod(records, period));
}

function checkPeriod(records: SoakRecords, period: LimitPeriod): Violation[] {
	const {worker, perSecond, fromMs, untilMs} = period;
	const allowed = (OVERAGE_FACTOR * perSecond * WINDOW_MS / MS_PER_SECOND) + EXTRA_REQUESTS;
	const counted = findArrivalsOfToldHosts(records, period);
	for (const [index, {atMs}] of counted.entries()) {
		const endMs = atMs + WINDOW_MS;
		const inWindow = counted.slice(index).filter(arrival => arrival.atMs < endMs);
		// A worker that leaves or restarts meanwhile has to name its limit again.
		const isRestarted = records.notices.some(notice => notice.subject === worker && notice.atMs < endMs && (notice.untilMs ?? endMs) + LEARNING_MS > fromMs);
		if (atMs >= fromMs + LEARNING_MS && endMs <= untilMs && inWindow.length > allowed && !isRestarted && isUndisturbed(records, fromMs, endMs, [worker])) {
			return [{promise: 'limit', subject: worker, message: `named a limit of ${perSecond.toFixed(1)} a second and got ${inWindow.length} requests in 4 s from hosts that knew it; allowed ${Math.floor(allowed)}`}];
		}
	}

	return [];
}

/** Requests that reached the worker from hosts that had forwarded a response with its limit and were not disturbed, in order of time. */
function findArrivalsOfToldHosts(records: SoakRecords, {worker, fromMs, untilMs}: LimitPeriod): Arrival[] {
	const hostByCallId = new Map(records.calls.map(({id, host}) => [id, host]));
	const toldAtMs = new Map<string, number>();
	for (const {host, signature, end, sentAtMs, endAtMs} of records.calls) {
		if (signature === createSignature(worker) && end === CallEnd.Answered && sentAtMs >= fromMs) {
			toldAtMs.set(host, Math.min(endAtMs, toldAtMs.get(host) ?? endAtMs));
		}
	}

	return records.arrivals.filter(arrival => {
		const host = hostByCallId.get(arrival.id) ?? '';
		return arrival.worker === worker && arrival.atMs <= untilMs && arrival.atMs >= (toldAtMs.get(host) ?? Number.POSITIVE_INFINITY) + TOLD_MARGIN_MS
			&& isUndisturbed(records, fromMs, arrival.atMs, [host]);
	}).toSorted((a, b) => a.atMs - b.atMs);
}
