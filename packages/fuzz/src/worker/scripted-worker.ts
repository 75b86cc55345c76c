import {Buffer} from 'node:buffer';
import {createHash} from 'node:crypto';
import {createServer, type Socket} from 'node:net';
import {setTimeout as pause} from 'node:timers/promises';
import {resetSocket} from '@apricotwood/entry';
import {HeaderName, addressOf, listen} from '@apricotwood/platform/standin';
import type {Arrival} from '../observation.js';
import {readRequestBody, readRequestHead, type RequestHead} from './request-reader.js';
import {
	Ending, Extra, ExtraPlace, Framing, Moment, SOUND_ANSWER, findSignature, hasProperTrailers, renderAnswer, renderExtra, renderRejection, type AnswerScript, type RenderedAnswer,
} from './script.js';

/** Delay before a reset, so that what was written before it arrives, ms. */
const RESET_DELAY_MS = 5;
/** Answer to a request that is meant for another worker. */
const OTHER_WORKER_ANSWER: AnswerScript = {...SOUND_ANSWER, runs: false, status: 421};

/** What the workers of a scenario share. */
export type WorkerPlan = {
	/** Returns what is done with the next request. */
	readonly takeScript: () => AnswerScript;
	readonly arrivals: Arrival[];
	readonly strangeRequests: string[];
	/** Called for each answer that is written. */
	readonly onAnswer: (script: AnswerScript, answer: RenderedAnswer) => void;
};

/** A worker whose answers are scripts, byte by byte. */
export class ScriptedWorker {
	readonly #sockets = new Set<Socket>();
	readonly #server = createServer({allowHalfOpen: true}, socket => {
		this.#sockets.add(socket);
		socket.on('error', () => {});
		socket.on('close', () => {
			this.#sockets.delete(socket);
		});
		void new WorkerConnection(socket, this.id, this.plan).serve();
	});

	constructor(readonly id: string, private readonly plan: WorkerPlan) {}

	get address(): string {
		return addressOf(this.#server);
	}

	async start(): Promise<this> {
		await listen(this.#server);
		return this;
	}

	async stop(): Promise<void> {
		for (const socket of this.#sockets) {
			socket.destroy();
		}

		await new Promise<void>(resolve => {
			this.#server.close(() => {
				resolve();
			});
		});
	}
}

/** One connection of a worker; serves one request at a time. */
class WorkerConnection {
	#bytes: Buffer = Buffer.alloc(0);
	#hasEnded = false;
	#onBytes: () => void = () => {};
	#lastId = '';
	#lastAnswer: Buffer = Buffer.alloc(0);

	constructor(private readonly socket: Socket, private readonly worker: string, private readonly plan: WorkerPlan) {
		socket.on('data', (chunk: Buffer) => {
			this.#bytes = Buffer.concat([this.#bytes, chunk]);
			this.#onBytes();
		});
		const end = () => {
			this.#hasEnded = true;
			this.#onBytes();
		};

		socket.on('end', end);
		socket.on('close', end);
	}

	async serve(): Promise<void> {
		for (;;) {
			const head = await this.#readUntil(() => readRequestHead(this.#bytes)); // eslint-disable-line no-await-in-loop
			if (!head || head === 'malformed') {
				if (this.#bytes.length > 0 && head === 'malformed') {
					this.plan.strangeRequests.push(this.#bytes.toString('latin1', 0, 100));
				}

				this.socket.end();
				return;
			}

			this.#bytes = this.#bytes.subarray(head.length);
			const isKept = head.path === '/health' ? await this.#answerHealthCheck() : await this.#handle(head); // eslint-disable-line no-await-in-loop
			if (!isKept) {
				return;
			}
		}
	}

	/** @returns `undefined` if the connection ended before. */
	async #readUntil<T>(read: () => T | undefined): Promise<T | undefined> {
		for (;;) {
			const result = read();
			if (result !== undefined || this.#hasEnded) {
				return result;
			}

			// eslint-disable-next-line no-await-in-loop
			await new Promise<void>(resolve => {
				this.#onBytes = resolve;
			});
		}
	}

	async #answerHealthCheck(): Promise<boolean> {
		this.socket.write(`HTTP/1.1 200 OK\r\n${HeaderName.WorkerId}: ${this.worker}\r\nContent-Length: 0\r\n\r\n`);
		return true;
	}

	/** @returns whether the connection goes on. */
	async #handle(head: RequestHead): Promise<boolean> {
		const isOther = head.headers.get(HeaderName.TargetWorker) !== this.worker;
		const script = isOther ? OTHER_WORKER_ANSWER : this.plan.takeScript();
		const id = head.headers.get('request-id') ?? '';
		const arrival: Arrival = {
			id, worker: this.worker, method: head.method, path: head.path, digest: undefined, hasRun: false, answer: undefined,
		};
		this.plan.arrivals.push(arrival);
		const body = this.#readUntil(() => readRequestBody(this.#bytes, head));
		if (script.moment === Moment.Request && !await body) {
			return false;
		}

		arrival.hasRun = script.runs;
		const isKept = await this.#answer(script, arrival);
		const read = await body;
		if (!read) {
			return false;
		}

		arrival.digest = createHash('md5').update(read.body).digest('hex');
		this.#bytes = this.#bytes.subarray(read.length);
		return isKept;
	}

	/** @returns whether the connection goes on. */
	async #answer(script: AnswerScript, arrival: Arrival): Promise<boolean> {
		const {id} = arrival;
		const number = this.plan.arrivals.indexOf(arrival);
		const signature = `sig-${number}`;
		const answer = renderAnswer(script, id, signature, `${id} ${this.worker} ${number} `);
		arrival.answer = {
			status: script.status, signature: findSignature(script, signature), body: answer.body, isWhole: answer.isWhole, isProper: hasProperTrailers(script),
		};
		this.plan.onAnswer(script, answer);
		// What follows on a connection whose end delimits the answer would be a part of it.
		const extra = script.extra && !(script.framing === Framing.Close && script.extra.place !== ExtraPlace.Before) ? this.#renderExtra(script.extra.kind) : undefined;
		const place = script.extra?.place;
		if (script.delayMs > 0) {
			await pause(script.delayMs);
		}

		await this.#write(Buffer.concat([
			...(extra && place === ExtraPlace.Before ? [extra] : []),
			answer.bytes,
			...(extra && place === ExtraPlace.After && !answer.cutIn ? [extra] : []),
		]), script.pieces);
		this.#lastId = id;
		this.#lastAnswer = answer.bytes;
		if (extra && place === ExtraPlace.Later && !answer.ending) {
			setTimeout(() => {
				this.socket.write(extra);
			}, script.extra?.delayMs);
		}

		return this.#end(answer.ending);
	}

	#renderExtra(kind: Extra): Buffer {
		switch (kind) {
			case Extra.Again: {
				return this.#lastAnswer;
			}

			case Extra.Rejection: {
				return this.#lastId === '' ? Buffer.alloc(0) : renderRejection(this.#lastId);
			}

			case Extra.Nameless: {
				// Only what follows an answer may lack an id; the first answer of a connection has nothing else to be known by.
				return this.#lastId === '' ? Buffer.alloc(0) : renderExtra(kind);
			}

			case Extra.Other:
			case Extra.Garbage: {
				return renderExtra(kind);
			}
		}
	}

	async #write(bytes: Buffer, {count, pauseMs}: AnswerScript['pieces']): Promise<void> {
		const size = Math.max(1, Math.ceil(bytes.length / count));
		for (let at = 0; at < bytes.length && !this.socket.destroyed; at += size) {
			this.socket.write(bytes.subarray(at, at + size));
			if (count > 1 && at + size < bytes.length) {
				await pause(pauseMs); // eslint-disable-line no-await-in-loop
			}
		}
	}

	async #end(ending: Ending | undefined): Promise<boolean> {
		switch (ending) {
			case undefined: {
				return true;
			}

			case Ending.Close: {
				this.socket.end();
				return false;
			}

			case Ending.Reset: {
				await pause(RESET_DELAY_MS);
				resetSocket(this.socket);
				return false;
			}

			case Ending.Silence: {
				return false;
			}
		}
	}
}
