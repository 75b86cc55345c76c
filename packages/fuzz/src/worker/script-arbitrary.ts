import fc from 'fast-check';
import {HeaderName} from '@apricotwood/platform/standin';
import {CallKind} from '../observation.js';
import {
	Ending, Extra, ExtraPlace, Framing, Moment, SOUND_ANSWER, Section, type AnswerScript,
} from './script.js';

/** A request of a scenario. */
export type CallScript = {
	readonly kind: CallKind;
	readonly bodyBytes: number;
	/** Whether the body is sent in chunks instead of with a length. */
	readonly isChunked: boolean;
	/** Time since the answer to the call before, ms. */
	readonly pauseMs: number;
	/** Whether it uses the connection of the call before, if that can be used. */
	readonly keepsConnection: boolean;
};

/** Calls, one after another, and what workers do with the requests in the order of their arrival; further ones are answered soundly. */
export type Scenario = {
	readonly calls: readonly CallScript[];
	readonly answers: readonly AnswerScript[];
};

/** Body from which answers are forwarded while they arrive, and more; bytes. */
const STREAMED_BODY_BYTES = 140_000;

/** A worker that answers so has not run the request. */
const NOT_RUN_STATUS = 421;

const status = fc.oneof(
	{weight: 6, arbitrary: fc.constant(200)},
	{weight: 4, arbitrary: fc.constantFrom(201, 204, 206, 301, 304, 400, 404, 408, 409, 429, 500, 502, 503, 504)},
	{weight: 1, arbitrary: fc.integer({min: 200, max: 999}).filter(number => number !== NOT_RUN_STATUS)},
);

const rejectionStatus = fc.constantFrom(503, 429, 421, 400);

/** Header lines that may be added: with a meaning of their own, folded, empty, in odd case or with odd bytes. */
const ODD_LINES: readonly string[] = [
	'Connection: close',
	'Connection: keep-alive',
	'cOnNeCtIoN: Close',
	'Connection: keep-alive, close',
	'Connection: x-odd',
	'Connection:',
	'Keep-Alive: timeout=0',
	'Keep-Alive: timeout=1',
	'Keep-Alive: timeout=5',
	'Keep-Alive: timeout=99999999999',
	'Keep-Alive: max',
	'Keep-Alive:',
	'X-Folded: one\r\n two',
	'X-Folded: one\r\n\t\r\n three',
	'X-Empty:',
	'X-Tab:\ta\t',
	'X-Odd: \u00E9\u00FF',
	'X-Odd: a\u0001b',
	'X-Odd: \u007F',
	'X Odd: 1',
	': no name',
	'Server-Load: 1,0,4',
	'Server-Load: 9,9,4',
	'Server-Load: x',
	'Server-Load: 1e400,0,4',
	'Server-Load: -1,-1,4',
	'server-load: 1,0',
	'Server-Limit: 5',
	'Server-Limit: -1',
	'Server-Limit: 1e400',
	'Server-Leaving: 1',
	'Server-Leaving: 0',
	'Retry-After: 0',
	'Retry-After: 0.2',
	'Retry-After: 1e9',
	'Retry-After: Fri, 31 Dec 1999 23:59:59 GMT',
	'Request-Id: second',
	`${HeaderName.Signature}: second`,
	'Trailer: X-Sum',
	'Upgrade: h2c',
	'Content-Type: text/plain',
	'Date: now',
	'Proxy-Connection: close',
	'TE: trailers',
	'Set-Cookie: a=1',
	'Set-Cookie: b=2',
	'Content-Length: 3',
	'Transfer-Encoding: chunked',
];

/** Lines that a worker may add; a long one, or many. */
const line = fc.oneof(
	fc.constantFrom(...ODD_LINES),
	fc.record({name: fc.constantFrom('X-Long', 'Server-Load', 'Keep-Alive'), length: fc.constantFrom(100, 4000, 15_000, 70_000)}).map(({name, length}) => `${name}: ${'v'.repeat(length)}`),
	fc.constantFrom(50, 300).map(count => Array.from({length: count}, (_, index) => `X-Many-${index % 40}: ${index}`).join('\r\n')),
	fc.string({unit: 'binary', maxLength: 8}).map(text => `X-Any: ${toLatin1(text)}`),
);

const informational = fc.record({
	status: fc.constantFrom(102, 103, 100, 101, 199),
	lines: fc.array(fc.constantFrom('Link: </a>', 'Connection: close', 'Request-Id: other', `${HeaderName.Signature}: info`, 'Content-Length: 4'), {maxLength: 2}),
});

const ending = fc.constantFrom(Ending.Close, Ending.Reset, Ending.Silence);

/** Maps a text to one of the same length without line breaks, of which each character is one byte. */
function toLatin1(text: string): string {
	return Array.from(text, char => String.fromCodePoint(char.codePointAt(0)! % 256)).join('').replaceAll(/[\r\n]/g, '');
}

/** Absent in `weight` of `weight` + 1 cases. */
function rarely<T>(arbitrary: fc.Arbitrary<T>, weight: number): fc.Arbitrary<T | undefined> {
	return fc.oneof({weight, arbitrary: fc.constant(undefined)}, {weight: 1, arbitrary});
}

/** Mostly the first value. */
function mostly<T>(usual: T, other: fc.Arbitrary<T>, weight = 3): fc.Arbitrary<T> {
	return fc.oneof({weight, arbitrary: fc.constant(usual)}, {weight: 1, arbitrary: other});
}

const trouble = fc.record({
	status,
	moment: mostly(Moment.Request, fc.constant(Moment.Head)),
	delayMs: mostly(0, fc.constantFrom(1, 20, 120)),
	informational: mostly<AnswerScript['informational']>([], fc.oneof(fc.array(informational, {minLength: 1, maxLength: 3}), informational.map(one => Array.from({length: 20}, () => one)))),
	hasId: mostly(true, fc.constant(false), 15),
	isSigned: mostly(true, fc.constant(false), 15),
	lines: mostly<readonly string[]>([], fc.array(line, {minLength: 1, maxLength: 3}), 1),
	framing: fc.constantFrom(Framing.Length, Framing.Chunks, Framing.Close),
	bodyBytes: mostly(20, fc.constantFrom(0, 1, 300, 20_000, STREAMED_BODY_BYTES, 2 * STREAMED_BODY_BYTES), 2),
	chunkBytes: fc.array(fc.constantFrom(1, 2, 7, 400, 17_000), {minLength: 1, maxLength: 3}),
	chunkExtension: mostly('', fc.constantFrom(';a', ';a=1', ';a="b"', ' ')),
	trailers: mostly<readonly string[]>([], fc.array(fc.constantFrom('X-Sum: 1', 'Request-Id: other', `${HeaderName.Signature}: late`, 'Content-Length: 9', 'X-Folded: a\r\n b'), {minLength: 1, maxLength: 2})),
	cut: rarely(fc.record({section: fc.constantFrom(...Object.values(Section)), at: fc.nat({max: 300_000}), ending}), 1),
	after: rarely(ending, 5),
	pieces: mostly({count: 1, pauseMs: 0}, fc.record({count: fc.integer({min: 2, max: 6}), pauseMs: fc.constantFrom(0, 1, 10)})),
	extra: rarely(fc.record({kind: fc.constantFrom(...Object.values(Extra)), place: fc.constantFrom(...Object.values(ExtraPlace)), delayMs: fc.constantFrom(0, 3, 31)}), 2),
});

const answer: fc.Arbitrary<AnswerScript> = fc.oneof(
	{weight: 2, arbitrary: fc.constant(SOUND_ANSWER)},
	{weight: 7, arbitrary: trouble.map(fields => ({...fields, runs: true}))},
	{weight: 2, arbitrary: fc.record({fields: trouble, status: rejectionStatus}).map(({fields, status: rejected}) => ({...fields, runs: false, status: rejected, isSigned: true}))},
);

const call: fc.Arbitrary<CallScript> = fc.record({
	kind: fc.constantFrom(...Object.values(CallKind)),
	bodyBytes: fc.constantFrom(0, 0, 1, 40, 5000, 200_000),
	isChunked: fc.boolean(),
	pauseMs: fc.constantFrom(0, 2, 35),
	keepsConnection: mostly(true, fc.constant(false)),
});

/** Scenarios of some calls and answers. */
export const scenarioArbitrary: fc.Arbitrary<Scenario> = fc.record({
	calls: fc.array(call, {minLength: 1, maxLength: 4}),
	answers: fc.array(answer, {minLength: 1, maxLength: 6}),
});
