import {Buffer} from 'node:buffer';
import {HeaderName} from '@apricotwood/platform/standin';

/** What delimits the body of an answer. */
export enum Framing {
	Length = 'length',
	Chunks = 'chunks',
	/** The end of the connection. */
	Close = 'close',
}

/** Part of an answer's bytes. */
export enum Section {
	Informational = 'informational',
	StatusLine = 'status-line',
	Headers = 'headers',
	Body = 'body',
	/** Last chunk and trailers. */
	Tail = 'tail',
}

/** How a worker ends a connection, or stops writing on it. */
export enum Ending {
	Close = 'close',
	Reset = 'reset',
	Silence = 'silence',
}

/** When an answer begins. */
export enum Moment {
	/** The head of the request is there, its body not read yet. */
	Head = 'before the body',
	Request = 'after the request',
}

/** Bytes beside the worker's answer. */
export enum Extra {
	/** The last answer of this connection once more. */
	Again = 'again',
	/** A rejection of the last request of this connection. */
	Rejection = 'rejection',
	/** An answer to a request of another connection. */
	Other = 'other',
	/** An answer that names no request. */
	Nameless = 'nameless',
	Garbage = 'garbage',
}

/** Where extra bytes stand. */
export enum ExtraPlace {
	/** In one write with the answer, before it. */
	Before = 'before',
	/** In one write with the answer, after it. */
	After = 'after',
	Later = 'later',
}

/** What a worker does with one request. */
export type AnswerScript = {
	/** Whether it runs the request; otherwise it says that it has not run it. */
	readonly runs: boolean;
	readonly status: number;
	readonly moment: Moment;
	/** Time from there to the first byte, ms. */
	readonly delayMs: number;
	/** Status and header lines of the responses (1xx) before the answer. */
	readonly informational: ReadonlyArray<{readonly status: number; readonly lines: readonly string[]}>;
	readonly hasId: boolean;
	readonly isSigned: boolean;
	/** Header lines beside the usual ones; a line may be folded. */
	readonly lines: readonly string[];
	readonly framing: Framing;
	readonly bodyBytes: number;
	/** Sizes of chunks, used in turn; bytes. */
	readonly chunkBytes: readonly number[];
	/** Extension of each chunk's size. */
	readonly chunkExtension: string;
	readonly trailers: readonly string[];
	/** Where it stops; `undefined` if it writes all. `at` counts bytes of the section, modulo its length. */
	readonly cut: {readonly section: Section; readonly at: number; readonly ending: Ending} | undefined;
	/** What follows a complete answer; `undefined` if the connection is kept. */
	readonly after: Ending | undefined;
	/** Number of writes, and the pause between two, ms. */
	readonly pieces: {readonly count: number; readonly pauseMs: number};
	readonly extra: {readonly kind: Extra; readonly place: ExtraPlace; readonly delayMs: number} | undefined;
};

/** An answer without any trouble. */
export const SOUND_ANSWER: AnswerScript = {
	runs: true,
	status: 200,
	moment: Moment.Request,
	delayMs: 0,
	informational: [],
	hasId: true,
	isSigned: true,
	lines: [],
	framing: Framing.Length,
	bodyBytes: 20,
	chunkBytes: [7],
	chunkExtension: '',
	trailers: [],
	cut: undefined,
	after: undefined,
	pieces: {count: 1, pauseMs: 0},
	extra: undefined,
};

/** Bytes of an answer, and what they mean by construction. */
export type RenderedAnswer = {
	readonly bytes: Buffer;
	/** How the connection goes on; `undefined` if it is kept. */
	readonly ending: Ending | undefined;
	readonly body: string;
	readonly isWhole: boolean;
	/** Where it was cut; `undefined` if it was not. */
	readonly cutIn: Section | undefined;
};

const BODILESS_STATUSES = new Set([204, 304]);
const FRAMING_LINE = /^(?:content-length|transfer-encoding):/i;
const SIGNATURE_LINE = new RegExp(`^${HeaderName.Signature}: (.*)$`, 'i');

/** Renders the answer to a request. @param tag text that no other answer has; begins the body. */
export function renderAnswer(script: AnswerScript, id: string, signature: string, tag: string): RenderedAnswer {
	const {status, framing} = script;
	const hasBody = !BODILESS_STATUSES.has(status);
	const body = hasBody ? tag.padEnd(script.bodyBytes, 'x').slice(0, script.bodyBytes) : '';
	const sections = new Map<Section, string>([
		[Section.Informational, script.informational.map(({status: code, lines}) => `HTTP/1.1 ${code} Info\r\n${toLines(lines)}\r\n`).join('')],
		[Section.StatusLine, `HTTP/1.1 ${status} Any\r\n`],
		[Section.Headers, `${toLines([...createLines(script, id, signature), ...(hasBody ? createFramingLines(framing, body) : [])])}\r\n`],
		[Section.Body, framing === Framing.Chunks && hasBody ? toChunks(body, script) : body],
		[Section.Tail, framing === Framing.Chunks && hasBody ? `0\r\n${toLines(script.trailers)}\r\n` : ''],
	]);
	const isCloseDelimited = hasBody && framing === Framing.Close;
	const cut = findCut(script, sections);
	const all = Buffer.from([...sections.values()].join(''), 'latin1');
	if (!cut) {
		const ending = script.after ?? (isCloseDelimited ? Ending.Close : undefined);
		return {
			bytes: all, ending, body, isWhole: !isCloseDelimited || ending === Ending.Close, cutIn: undefined,
		};
	}

	// The end of the connection ends such a body wherever it comes.
	const endsBody = isCloseDelimited && cut.section === Section.Body && script.cut!.ending === Ending.Close;
	return {
		bytes: all.subarray(0, cut.at), ending: script.cut!.ending, body: endsBody ? body.slice(0, cut.offset) : body, isWhole: endsBody, cutIn: cut.section,
	};
}

/** Signature that an answer bears first; `undefined` if it is unsigned. */
export function findSignature({isSigned, lines}: AnswerScript, signature: string): string | undefined {
	return isSigned ? signature : lines.map(line => SIGNATURE_LINE.exec(line)?.[1]).find(value => value !== undefined);
}

/** Whether the bytes after the body are as HTTP/1.1 wants them: no line is folded, and none frames the answer. */
export function hasProperTrailers({framing, trailers}: AnswerScript): boolean {
	return framing !== Framing.Chunks || trailers.every(line => !line.includes('\r\n') && !FRAMING_LINE.test(line));
}

/** Renders a complete answer of its own beside the script's. */
export function renderExtra(kind: Extra.Other | Extra.Nameless | Extra.Garbage): Buffer {
	const head = `${HeaderName.Signature}: sig-extra\r\nContent-Length: 5\r\n\r\nextra`;
	switch (kind) {
		case Extra.Other: {
			return Buffer.from(`HTTP/1.1 200 OK\r\nRequest-Id: other\r\n${head}`);
		}

		case Extra.Nameless: {
			return Buffer.from(`HTTP/1.1 200 OK\r\n${head}`);
		}

		case Extra.Garbage: {
			return Buffer.from('\u0000\r\n\u0001 no answer \r\n\r\n', 'latin1');
		}
	}
}

/** Renders a rejection that says that a request has not run. */
export function renderRejection(id: string): Buffer {
	return Buffer.from(`HTTP/1.1 503 Busy\r\nRequest-Id: ${id}\r\n${HeaderName.NotExecuted}: 1\r\n${HeaderName.Signature}: sig-rejection\r\nContent-Length: 0\r\n\r\n`);
}

function toLines(lines: readonly string[]): string {
	return lines.map(line => `${line}\r\n`).join('');
}

/** Header lines of an answer. A line that frames it is left out where it would be the only one. */
function createLines({runs, status, framing, hasId, isSigned, lines}: AnswerScript, id: string, signature: string): string[] {
	const isFramed = framing !== Framing.Close && !BODILESS_STATUSES.has(status);
	return [
		...(hasId ? [`Request-Id: ${id}`] : []),
		...(isSigned ? [`${HeaderName.Signature}: ${signature}`] : []),
		...(runs ? [] : [`${HeaderName.NotExecuted}: 1`]),
		...lines.filter(line => isFramed || !FRAMING_LINE.test(line)),
	];
}

function createFramingLines(framing: Framing, body: string): string[] {
	switch (framing) {
		case Framing.Length: {
			return [`Content-Length: ${body.length}`];
		}

		case Framing.Chunks: {
			return ['Transfer-Encoding: chunked'];
		}

		case Framing.Close: {
			return [];
		}
	}
}

function toChunks(body: string, {chunkBytes, chunkExtension}: AnswerScript): string {
	const chunks: string[] = [];
	for (let at = 0, index = 0; at < body.length; index++) {
		// Long bodies have long chunks, so that the framing stays a part of them.
		const size = Math.max(chunkBytes[index % chunkBytes.length]!, Math.ceil(body.length / 500));
		const chunk = body.slice(at, at + size);
		chunks.push(`${chunk.length.toString(16)}${chunkExtension}\r\n${chunk}\r\n`);
		at += size;
	}

	return chunks.join('');
}

/** Finds the byte at which a script stops. An empty section has none; the status line is taken then. */
function findCut({cut}: AnswerScript, sections: ReadonlyMap<Section, string>): {readonly section: Section; readonly offset: number; readonly at: number} | undefined {
	if (!cut) {
		return undefined;
	}

	const section = sections.get(cut.section) === '' ? Section.StatusLine : cut.section;
	const offset = cut.at % sections.get(section)!.length;
	let at = offset;
	for (const [name, text] of sections) {
		if (name === section) {
			break;
		}

		at += text.length;
	}

	return {section, offset, at};
}
