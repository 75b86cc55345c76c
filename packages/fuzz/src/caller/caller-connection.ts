import {Buffer} from 'node:buffer';
import {connect, type Socket} from 'node:net';
import {wasResetAtEnd} from '@apricotwood/entry';
import {
	StreamEnd, readResponse, type ReadResponse,
} from './response-reader.js';

/** What a caller has got for one request. */
export type CallerAnswer = {
	/** As far as it has come; `undefined` if no head has. */
	readonly response: ReadResponse | undefined;
	/** How the connection stood when the answer was over. */
	readonly end: StreamEnd;
	/** Why the bytes are no response; `undefined` if they are one, or too few. */
	readonly malformed: string | undefined;
};

/** A caller's connection that sends one request after another. */
export class CallerConnection {
	readonly #socket: Socket;
	#bytes: Buffer = Buffer.alloc(0);
	#end = StreamEnd.Open;
	#onAnswer: ((answer: CallerAnswer) => void) | undefined;
	#mustClose = false;

	/**
	 * @param address `IP:port` of the host.
	 * @param repeatsAnswers whether each answer is read twice, as if the host had written it again: a break of the checker.
	 */
	constructor(address: string, private readonly repeatsAnswers = false) {
		const [host, port] = address.split(':');
		this.#socket = connect({host: host!, port: Number(port), allowHalfOpen: true});
		this.#socket.on('data', (chunk: Buffer) => {
			this.#bytes = Buffer.concat([this.#bytes, chunk]);
			this.#read();
		});
		this.#socket.on('end', () => {
			void wasResetAtEnd(this.#socket).then(wasReset => {
				this.#finish(wasReset ? StreamEnd.Reset : StreamEnd.Closed);
			});
		});
		this.#socket.on('error', () => {
			this.#finish(StreamEnd.Reset);
		});
	}

	/** Whether another request may be sent. */
	get isUsable(): boolean {
		return this.#end === StreamEnd.Open && !this.#mustClose;
	}

	/** Bytes that came while no request was waiting. */
	get surplus(): Buffer {
		return this.#onAnswer ? Buffer.alloc(0) : this.#bytes;
	}

	/** Sends a request and waits for its answer or the end of the connection. */
	async send(bytes: Buffer, timeoutMs: number): Promise<CallerAnswer> {
		return new Promise(resolve => {
			const timer = setTimeout(() => {
				this.#mustClose = true;
				this.#settle({response: undefined, end: StreamEnd.Open, malformed: undefined});
			}, timeoutMs);
			this.#onAnswer = answer => {
				clearTimeout(timer);
				resolve(answer);
			};

			this.#socket.write(bytes);
			this.#read();
		});
	}

	close(): void {
		this.#socket.destroy();
	}

	#finish(end: StreamEnd): void {
		this.#end = end;
		this.#read();
		this.#socket.destroy();
	}

	#read(): void {
		if (!this.#onAnswer) {
			return;
		}

		const result = readResponse(this.#bytes, this.#end);
		if (result.kind === 'response') {
			this.#mustClose = result.response.headers.get('connection')?.join(',').toLowerCase().includes('close') === true;
			this.#bytes = this.#bytes.subarray(this.repeatsAnswers ? 0 : result.length);
			this.#settle({response: result.response, end: this.#end, malformed: undefined});
		} else if (result.kind === 'malformed') {
			this.#mustClose = true;
			this.#bytes = Buffer.alloc(0);
			this.#settle({response: undefined, end: this.#end, malformed: result.reason});
		} else if (this.#end !== StreamEnd.Open) {
			this.#bytes = Buffer.alloc(0);
			this.#settle({response: result.partial, end: this.#end, malformed: undefined});
		}
	}

	#settle(answer: CallerAnswer): void {
		const onAnswer = this.#onAnswer;
		this.#onAnswer = undefined;
		onAnswer?.(answer);
	}
}
