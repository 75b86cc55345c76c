import type {ExecutedRequest} from '@apricotwood/platform/standin';
import {STOP_TIMEOUT_MS} from './host.js';
import {FaultKind} from './plan.js';
import {
	CallEnd, findMaxLagMs, isUndisturbed, type Call, type HostStop, type SoakRecords,
} from './records.js';
import {ROUTE_TIMEOUTS_MS} from './routes.js';
import type {Violation} from './violation.js';

/** Grace period in the settings of the hosts, ms. */
export const GRACE_MS = 6000;
/** Time after the stop signal until which a request has to be sent for the end of the grace period to excuse its loss, ms. */
const LAST_EXCUSED_START_MS = GRACE_MS / 2;
/** Time after the stop signal from which a worker has to be at work for that, ms. */
const LAST_SIXTH_MS = GRACE_MS * 5 / 6;
/** Time after the grace period, and after the exit of the process, in which calls are judged, ms. */
const AFTER_GRACE_MS = 1000;
const AFTER_EXIT_MS = 700;
/** Ends of calls that have no whole answer, although the caller waited for it. */
const LOST_ENDS: ReadonlySet<CallEnd> = new Set([CallEnd.Cut, CallEnd.NoAnswer, CallEnd.NoConnection]);

/** What is known of a call that reached a worker. */
type ForwardedCall = {
	readonly call: Call;
	/** Hosts that had the request: that of the caller, and the one that sent it to a worker. */
	readonly hosts: Set<string>;
	readonly workers: Set<string>;
	readonly runs: ExecutedRequest[];
};

/** A host that is stopped exits in time, and a call that reached a worker through it ends with a whole answer unless the rule excuses it. */
export function checkStops(records: SoakRecords): Violation[] {
	const forwardedCalls = listForwardedCalls(records);
	return records.stops.flatMap(stop => [...checkExit(records, stop), ...checkForwardedCalls(records, stop, forwardedCalls)]);
}

function listForwardedCalls({calls, arrivals, runs}: SoakRecords): ForwardedCall[] {
	const forwardedCalls = new Map<string, ForwardedCall>();
	const callsById = new Map(calls.map(call => [call.id, call]));
	const getForwardedCall = (id: string): ForwardedCall | undefined => {
		const call = callsById.get(id);
		if (call && !forwardedCalls.has(id)) {
			forwardedCalls.set(id, {
				call, hosts: new Set([call.host]), workers: new Set(), runs: [],
			});
		}

		return forwardedCalls.get(id);
	};

	for (const {id, worker, sender} of arrivals) {
		const forwardedCall = getForwardedCall(id);
		forwardedCall?.workers.add(worker);
		forwardedCall?.hosts.add(sender ?? forwardedCall.call.host);
	}

	for (const run of runs) {
		const forwardedCall = getForwardedCall(run.id);
		forwardedCall?.workers.add(run.worker);
		forwardedCall?.runs.push(run);
	}

	return [...forwardedCalls.values()];
}

function checkExit(records: SoakRecords, {host, atMs, endAtMs}: HostStop): Violation[] {
	return endAtMs === undefined && isUndisturbed(records, atMs, Number.POSITIVE_INFINITY, [host], FaultKind.HostStop)
		? [{promise: 'stop', subject: host, message: `process did not exit in time after the stop signal; the soak itself lagged up to ${findMaxLagMs(records, atMs, atMs + STOP_TIMEOUT_MS)} ms`}]
		: [];
}

function checkForwardedCalls(records: SoakRecords, stop: HostStop, forwardedCalls: readonly ForwardedCall[]): Violation[] {
	const untilMs = Math.min(findNextStopMs(records, stop), Math.max((stop.endAtMs ?? Number.POSITIVE_INFINITY) + AFTER_EXIT_MS, stop.atMs + GRACE_MS + AFTER_GRACE_MS));
	const lost = forwardedCalls.filter(({call, hosts}) => hosts.has(stop.host) && LOST_ENDS.has(call.end) && call.endAtMs > stop.atMs && call.endAtMs <= untilMs);
	return lost.filter(forwardedCall => !isExcused(stop, forwardedCall) && !isCutFromOutside(records, stop, forwardedCall)).map(({call}) => ({
		promise: 'stop',
		subject: call.id,
		message: describeLoss(stop, call),
	}));
}

/** Time of the next stop of the same host, whose process is another one, Unix ms: calls that end later are judged by that stop. */
function findNextStopMs({stops}: SoakRecords, {host, atMs}: HostStop): number {
	return Math.min(Number.POSITIVE_INFINITY, ...stops.filter(stop => stop.host === host && stop.atMs > atMs).map(stop => stop.atMs));
}

function describeLoss({host, atMs}: HostStop, {url, sentAtMs, timeoutMs, end, endAtMs}: Call): string {
	const request = `${url}, sent ${sentAtMs - atMs} ms after the signal with a timeout of ${timeoutMs} ms`;
	return `${host} was stopped, and ${request}, had reached a worker and ended with ${end} ${endAtMs - atMs} ms after the signal`;
}

/** The excuses of the rule, but for a worker that breaks off. */
function isExcused(stop: HostStop, {call, runs}: ForwardedCall): boolean {
	const timeoutMs = Math.min(call.timeoutMs, ROUTE_TIMEOUTS_MS[call.kind] ?? Number.POSITIVE_INFINITY);
	if (call.endAtMs >= call.sentAtMs + timeoutMs) {
		return true;
	}

	const lastSixthAtMs = stop.atMs + LAST_SIXTH_MS;
	return call.sentAtMs <= stop.atMs + LAST_EXCUSED_START_MS && call.endAtMs >= lastSixthAtMs && runs.some(run => run.atMs + readWorkMs(run) >= lastSixthAtMs);
}

/** Whether a fault of the run itself ended the call: a worker broke off, the link of the callers did, or the process of a host was killed or paused. */
function isCutFromOutside({disturbances}: SoakRecords, stop: HostStop, {call, hosts, workers}: ForwardedCall): boolean {
	return disturbances.some(({subject, endsCalls, fromMs, untilMs}) => {
		// A process that was paused when it was told to stop has less time than the rule gives it.
		const sinceMs = subject === stop.host ? Math.min(call.sentAtMs, stop.atMs) : call.sentAtMs;
		return endsCalls === true && (hosts.has(subject) || workers.has(subject)) && fromMs <= call.endAtMs && untilMs >= sinceMs;
	});
}

/** Time that the request asks the worker to take, ms; 0 for requests that take tens of ms. */
function readWorkMs({url}: ExecutedRequest): number {
	return Number(new URL(url, 'http://worker').searchParams.get('work') ?? 0);
}
