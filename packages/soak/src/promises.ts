import {createSignature} from '@apricotwood/platform/standin';
import {checkCrashes} from './crashes.js';
import {checkIsolation} from './isolation.js';
import {checkRateLimits} from './rate-limits.js';
import {
	CallEnd, CallKind, findMaxLagMs, isUndisturbed, type ChangeNotice, type SoakRecords,
} from './records.js';
import {checkStops} from './stops.js';
import type {Violation} from './violation.js';
import {checkBackoffs, checkLeavings} from './worker-notices.js';

/** Time limit for hosts to stop using a worker that drains or has left, ms. */
const DRAIN_LIMIT_MS = 2500;
/** Time limit for hosts to apply a new configuration, ms. */
const CONFIG_LIMIT_MS = 2500;
/** Time limit for hosts to stop using the workers of an evacuated zone, ms. */
const EVACUATION_LIMIT_MS = 5000;
/** Time limit for requests to stop reaching workers after their callers have left, ms. */
const DEPARTURE_LIMIT_MS = 500;
/** A response that takes this much longer than the timeout is late, ms. */
const RESPONSE_MARGIN_MS = 700;
/** Minimum number of calls after recovery for a valid result. */
const MIN_CALM_CALLS = 20;
/** Minimum ratio of the calls after recovery that are served. */
const MIN_CALM_SERVED_RATIO = 0.95;
/** Subject of disturbances that affect the store for all hosts. */
export const STORE_SUBJECT = 'store';
/** Statuses which guarantee that no worker has executed the request or will execute it. */
const NOT_EXECUTED_STATUSES = new Set([408, 421, 429, 503]);

/** Checks one promise against the observations of a run. */
type PromiseCheck = (records: SoakRecords) => Violation[];

/** Promises without a time limit, by name. They apply at any time, also during faults. */
export const UNTIMED_PROMISES = {
	once: checkOnce, unasked: checkUnasked, refused: checkRefused, mixed: checkMixed, denied: checkDenied, ends: checkEnds,
} satisfies Readonly<Record<string, PromiseCheck>>;

/** Promises with a time limit, by name. They are checked only where no fault had an influence. */
export const TIMED_PROMISES = {
	drain: checkDrain, gone: checkGone, limit: checkRateLimits, leaving: checkLeavings, backoff: checkBackoffs, crash: checkCrashes, isolated: checkIsolation, config: checkConfig, stop: checkStops, late: checkLate, recover: checkRecovery,
} satisfies Readonly<Record<string, PromiseCheck>>;

/** Checks some promises against the observations of a run. */
export function checkPromises(records: SoakRecords, promises: Readonly<Record<string, PromiseCheck>>): Violation[] {
	return Object.values(promises).flatMap(check => check(records));
}

/** A request that is not idempotent is executed at most once. */
function checkOnce({calls, runs}: SoakRecords): Violation[] {
	const runCounts = new Map<string, number>();
	for (const {id} of runs) {
		runCounts.set(id, (runCounts.get(id) ?? 0) + 1);
	}

	return calls.filter(({id, kind}) => kind !== CallKind.Read && (runCounts.get(id) ?? 0) > 1)
		.map(({id, kind}) => ({promise: 'once', subject: id, message: `${kind} request was executed ${runCounts.get(id)} times`}));
}

/** Workers execute only requests that a caller sent, unchanged. */
function checkUnasked({calls, runs}: SoakRecords): Violation[] {
	const callsById = new Map(calls.map(call => [call.id, call]));
	const violations: Violation[] = [];
	for (const run of runs) {
		const call = callsById.get(run.id);
		if (!call) {
			violations.push({promise: 'unasked', subject: run.id, message: `${run.worker} executed a request that no caller sent`});
		} else if (run.url !== call.url || run.method !== call.method || run.bytes !== call.bytes || run.digest !== call.digest) {
			violations.push({
				promise: 'unasked', subject: run.id,
				message: `executed ${run.method} ${run.url} with ${run.bytes} bytes, but the caller sent ${call.method} ${call.url} with ${call.bytes} bytes`,
			});
		}
	}

	return violations;
}

/** A request that is not idempotent and was rejected as not executed has not been executed. */
function checkRefused({calls, runs}: SoakRecords): Violation[] {
	const executedIds = new Set(runs.map(({id}) => id));
	return calls.filter(({id, kind, status, end}) => end === CallEnd.Answered && kind !== CallKind.Read && NOT_EXECUTED_STATUSES.has(status) && executedIds.has(id))
		.map(({id, status}) => ({promise: 'refused', subject: id, message: `rejected with ${status}, but executed`}));
}

/** A successful response is the complete response of a worker that executed the request. */
function checkMixed({calls, runs}: SoakRecords): Violation[] {
	const signaturesById = new Map<string, Set<string>>();
	for (const {id, worker} of runs) {
		signaturesById.set(id, (signaturesById.get(id) ?? new Set()).add(createSignature(worker)));
	}

	return calls.filter(call => call.end === CallEnd.Answered && call.status < 300 && !(signaturesById.get(call.id)?.has(call.signature ?? '') && call.isExpected))
		.map(({id, signature, answer}) => ({promise: 'mixed', subject: id, message: `successful response has a wrong signature (${signature}) or body, which starts with ${answer.slice(0, 60)}`}));
}

/** Requests to a route that exists from the start are not rejected as invalid or unknown. */
function checkDenied({calls, notices}: SoakRecords): Violation[] {
	const addedPrefixes = new Set(notices.filter(({what}) => what === 'route-added').map(({subject}) => subject));
	return calls.filter(({end, status, url}) => end === CallEnd.Answered && status >= 300 && status < 500 && !NOT_EXECUTED_STATUSES.has(status) && !addedPrefixes.has(getPathPrefix(url)))
		.map(({id, status, url}) => ({promise: 'denied', subject: id, message: `${url} was rejected with ${status}`}));
}

/** Host processes exit only when the run ends them. */
function checkEnds({exits}: SoakRecords): Violation[] {
	return exits.filter(({wasWanted}) => !wasWanted)
		.map(({host, code, signal}) => ({promise: 'ends', subject: host, message: `process exited unexpectedly with ${signal ?? `code ${code}`}`}));
}

/** Requests stop reaching a worker within a time limit after it drains, leaves or its zone is evacuated. */
function checkDrain(records: SoakRecords): Violation[] {
	const violations: Violation[] = [];
	const hostByCallId = new Map(records.calls.map(({id, host}) => [id, host]));
	for (const notice of records.notices) {
		const isEvacuation = notice.what === 'evacuated';
		if (notice.what === 'route-added') {
			continue;
		}

		const deadlineMs = notice.atMs + (isEvacuation ? EVACUATION_LIMIT_MS : DRAIN_LIMIT_MS);
		const isAffected = (worker: string) => isEvacuation ? worker.endsWith(`-${notice.subject}`) : worker === notice.subject;
		const lateRuns = records.runs.filter(({id, worker, atMs}) => isAffected(worker) && atMs > deadlineMs && atMs < (notice.untilMs ?? Number.POSITIVE_INFINITY)
			&& isUndisturbed(records, notice.atMs, atMs, [STORE_SUBJECT, hostByCallId.get(id)]));
		violations.push(...lateRuns.map(run => ({promise: 'drain', subject: run.id, message: `request reached ${run.worker} ${run.atMs - notice.atMs} ms after it was marked ${notice.what}`})));
	}

	return violations;
}

/** Requests stop reaching workers within a time limit after their callers have left. */
function checkGone(records: SoakRecords): Violation[] {
	const abandonedCalls = new Map(records.calls.filter(({end}) => end === CallEnd.GaveUp).map(call => [call.id, call]));
	const violations: Violation[] = [];
	for (const {
		id, worker, atMs, headAtMs = atMs,
	} of records.arrivals) {
		const call = abandonedCalls.get(id);
		if (call && atMs > call.endAtMs + DEPARTURE_LIMIT_MS && isUndisturbed(records, call.sentAtMs, atMs, [call.host, worker])) {
			violations.push({promise: 'gone', subject: id, message: `request reached ${worker} ${atMs - call.endAtMs} ms (its head ${headAtMs - call.endAtMs} ms) after its caller had left ${call.host}; the soak itself lagged up to ${findMaxLagMs(records, call.sentAtMs, atMs)} ms`});
		}
	}

	return violations;
}

/** Hosts know an added route within a time limit. */
function checkConfig(records: SoakRecords): Violation[] {
	const addedRoutes = new Map<string, ChangeNotice>(records.notices.filter(({what}) => what === 'route-added').map(notice => [notice.subject, notice]));
	return records.calls.filter(({url, status, end, sentAtMs, host}) => {
		const notice = addedRoutes.get(getPathPrefix(url));
		return notice !== undefined && end === CallEnd.Answered && status === 404 && sentAtMs > notice.atMs + CONFIG_LIMIT_MS && isUndisturbed(records, notice.atMs, sentAtMs, [STORE_SUBJECT, host]);
	}).map(({id, url, host}) => ({promise: 'config', subject: id, message: `${host} has no route for ${url}`}));
}

/** Each call gets a response in time. */
function checkLate(records: SoakRecords): Violation[] {
	return records.calls.filter(({timeoutMs, end, sentAtMs, endAtMs, host}) => (end === CallEnd.Hung || (end === CallEnd.Answered && endAtMs - sentAtMs > timeoutMs + RESPONSE_MARGIN_MS))
		&& isUndisturbed(records, sentAtMs, endAtMs, [host]))
		.map(({id, sentAtMs, endAtMs, host}) => ({promise: 'late', subject: id, message: `call to ${host} took ${endAtMs - sentAtMs} ms`}));
}

/** After recovery, nearly all calls are served. */
function checkRecovery({calls, calmFromMs}: SoakRecords): Violation[] {
	const calmCalls = calls.filter(({sentAtMs, end}) => sentAtMs >= calmFromMs && end !== CallEnd.GaveUp);
	const servedCount = calmCalls.filter(({end, status}) => end === CallEnd.Answered && status === 200).length;
	return calmCalls.length < MIN_CALM_CALLS || servedCount < calmCalls.length * MIN_CALM_SERVED_RATIO
		? [{promise: 'recover', subject: 'all', message: `${servedCount} of ${calmCalls.length} calls served after recovery`}]
		: [];
}

function getPathPrefix(url: string): string {
	return `/${url.split('/')[1]}/`;
}
