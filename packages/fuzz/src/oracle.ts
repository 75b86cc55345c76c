import {Buffer} from 'node:buffer';
import {HeaderName} from '@apricotwood/platform/standin';
import {StreamEnd} from './caller/response-reader.js';
import {
	CallKind, type Arrival, type Call, type Observation,
} from './observation.js';

/** Names of the rules. The values are part of the command's output. */
export enum RuleName {
	Mixed = 'MIXED',
	Order = 'ORDER',
	Twice = 'TWICE',
	Refused = 'REFUSED',
	Unasked = 'UNASKED',
	Denied = 'DENIED',
	Lost = 'LOST',
	Ends = 'ENDS',
	Serves = 'SERVES',
}

/** A broken rule. */
export type Violation = {readonly rule: RuleName; readonly message: string};

type Check = (seen: Observation) => string[];

/** Statuses that promise that the request has not run and never will. */
const PROMISES = new Set([408, 421, 429, 503]);
/** Time after the caller's time by which an answer must be there, ms. */
const ANSWER_SLACK_MS = 700;

/** A caller's complete response is the whole one that a worker gave to this very request, or an unsigned failure of the host's own. */
function checkMixed({calls, arrivals}: Observation): string[] {
	return calls.flatMap(call => {
		const {response, malformed} = call.answer;
		if (malformed !== undefined) {
			return [`${call.id}: bytes that are no response (${malformed})`];
		}

		if (!response?.isWhole) {
			return [];
		}

		const signature = response.headers.get(HeaderName.Signature)?.[0];
		if (signature === undefined) {
			return response.status < 400 ? [`${call.id}: ${response.status} without a signature`] : [];
		}

		const isOwn = answersOf(call, arrivals).some(answer =>
			answer.isWhole && answer.signature === signature && answer.status === response.status && response.body.equals(Buffer.from(answer.body, 'latin1')));
		return isOwn ? [] : [`${call.id}: ${response.status} with ${response.body.length} bytes and signature ${signature} is no whole answer to it`];
	});
}

/** A caller's connection carries one response for each request and nothing else. */
function checkOrder({surplus}: Observation): string[] {
	return surplus.map(bytes => `bytes with no request waiting: ${JSON.stringify(bytes.slice(0, 60))}`);
}

/** A request that isn't idempotent runs once at most. */
function checkTwice({calls, arrivals}: Observation): string[] {
	return calls.filter(({kind}) => kind !== CallKind.Idempotent).flatMap(({id}) => {
		const count = arrivals.filter(arrival => arrival.id === id && arrival.hasRun).length;
		return count > 1 ? [`${id} ran ${count} times`] : [];
	});
}

/** A request that isn't idempotent and was answered 408, 421, 429 or 503 has not run. */
function checkRefused({calls, arrivals}: Observation): string[] {
	return calls.filter(({kind, answer: {response}}) => kind !== CallKind.Idempotent && response?.isWhole && PROMISES.has(response.status)).flatMap(({id, answer}) =>
		arrivals.some(arrival => arrival.id === id && arrival.hasRun) ? [`${id} was answered ${answer.response!.status} and has run`] : []);
}

/** A worker gets only requests that callers sent, with method, path and body as they were. */
function checkUnasked({calls, arrivals, strangeRequests}: Observation): string[] {
	const sent = new Map(calls.map(call => [call.id, call]));
	const changed = arrivals.flatMap(({id, method, path, digest}) => {
		const call = sent.get(id);
		const isSame = call?.method === method && call.path === path && (digest === undefined || digest === call.digest);
		return isSame ? [] : [`${id}: ${method} ${path} with body ${digest} is not what its caller sent`];
	});
	return [...changed, ...strangeRequests.map(bytes => `a worker got bytes that are no request: ${JSON.stringify(bytes.slice(0, 60))}`)];
}

/** A proper request that every configuration which may be in force allows is not ended with a 3xx or 4xx of the host's own, the promises aside. */
function checkDenied({calls}: Observation): string[] {
	return calls.filter(({isAllowed}) => isAllowed).flatMap(({id, answer: {response}}) => {
		const {status = 0, headers} = response ?? {};
		const isDenied = status >= 300 && status < 500 && !PROMISES.has(status) && !headers!.has(HeaderName.Signature);
		return isDenied ? [`${id} was denied with ${status}`] : [];
	});
}

/** A request has a complete answer within its time; one that a worker got is not ended by a bare close unless an answer that had begun to reach the caller was broken off, or spoilt, by the worker. */
function checkLost({calls, arrivals, lagMs}: Observation): string[] {
	return calls.flatMap(call => {
		const {id, timeLeftMs, tookMs, answer: {response, end, malformed}} = call;
		if (tookMs > timeLeftMs + ANSWER_SLACK_MS + lagMs) {
			return [`${id} had no answer ${Math.round(tookMs)} ms after it was sent, ${timeLeftMs} ms were allowed`];
		}

		const isOver = malformed !== undefined || response?.isWhole === true;
		if (isOver || end === StreamEnd.Open || !arrivals.some(arrival => arrival.id === id)) {
			return [];
		}

		const isExcused = response !== undefined && answersOf(call, arrivals).some(({isWhole, isProper}) => !(isWhole && isProper));
		return isExcused ? [] : [`${id} reached a worker and its connection was ${end} without a complete answer`];
	});
}

/** No host ends by itself, no part of one is restarted, no request ends by an exception. */
function checkEnds({failures}: Observation): string[] {
	return [...failures];
}

/** Once the rows are sound, each host serves what they name. */
function checkServes({hostsNotServing}: Observation): string[] {
	return [...hostsNotServing];
}

const CHECKS: Readonly<Record<RuleName, Check>> = {
	[RuleName.Mixed]: checkMixed,
	[RuleName.Order]: checkOrder,
	[RuleName.Twice]: checkTwice,
	[RuleName.Refused]: checkRefused,
	[RuleName.Unasked]: checkUnasked,
	[RuleName.Denied]: checkDenied,
	[RuleName.Lost]: checkLost,
	[RuleName.Ends]: checkEnds,
	[RuleName.Serves]: checkServes,
};

/** Judges one run by all rules. */
export function judge(seen: Observation): Violation[] {
	return Object.entries(CHECKS).flatMap(([rule, check]) => check(seen).map(message => ({rule: rule as RuleName, message})));
}

function answersOf({id}: Call, arrivals: readonly Arrival[]) {
	return arrivals.filter(arrival => arrival.id === id).flatMap(({answer}) => answer ?? []);
}
