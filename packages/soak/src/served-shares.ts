import {CallEnd, CallKind, type Call, type SoakRecords} from './records.js';

/** Time before the first signal of stops in turn that counts as part of them, and the time before that with which they are compared, ms. */
const LEAD_MS = 1000;
export const BASELINE_MS = 10_000;
/** Kinds of the usual callers, who ask where to go; each of their calls is a first attempt. */
const USUAL_KINDS: ReadonlySet<CallKind> = new Set([CallKind.Read, CallKind.Book, CallKind.Load]);

/** Numbers of first attempts in a period. */
export type ServedShare = {
	readonly served: number;
	readonly total: number;
};

/** First attempts of the usual callers from 1 s before stops in turn to their end, and in the ten seconds before, for each series of stops. */
export function countServedAroundStops({calls, stopsInTurn}: SoakRecords): Array<{readonly during: ServedShare; readonly before: ServedShare}> {
	return stopsInTurn.map(({fromMs, untilMs}) => {
		const startMs = fromMs - LEAD_MS;
		return {during: countServed(calls, startMs, untilMs), before: countServed(calls, startMs - BASELINE_MS, startMs)};
	});
}

function countServed(calls: readonly Call[], fromMs: number, untilMs: number): ServedShare {
	const counted = calls.filter(({kind, end, sentAtMs}) => USUAL_KINDS.has(kind) && end !== CallEnd.GaveUp && sentAtMs >= fromMs && sentAtMs < untilMs);
	return {served: counted.filter(({end, status}) => end === CallEnd.Answered && status === 200).length, total: counted.length};
}
