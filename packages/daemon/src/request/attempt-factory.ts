import {Buffer} from 'node:buffer';
import type {LongBody} from '@apricotwood/admission';
import type {Clock} from '@apricotwood/clock';
import {Attempt, type AttemptListener} from '../upstream/attempt.js';
import {createAttemptHeaders} from './attempt-headers.js';
import type {RequestContext} from './context.js';
import {HeaderName} from './headers.js';

/** Dependencies of {@link AttemptFactory}. */
export type AttemptFactoryDeps = {
	readonly clock: Clock;
	readonly hostId: string;
};

let attemptSequence = 0;

/** Creates the attempts of one request, each with an id of its own and the time that is left; a body that is streamed can be sent once. */
export class AttemptFactory {
	#requestHeaders: string[] | undefined;
	#isBodyConsumed = false;

	constructor(private readonly deps: AttemptFactoryDeps, private readonly ctx: RequestContext, private readonly body: Buffer | LongBody | undefined) {}

	get isBodyStreamed(): boolean {
		return this.body !== undefined && !Buffer.isBuffer(this.body);
	}

	/** Whether one more attempt can send the body. */
	get canSendBody(): boolean {
		return !this.#isBodyConsumed || (this.body !== undefined && !Buffer.isBuffer(this.body) && this.body.isUntaken);
	}

	/** Creates an attempt at a worker. */
	create(worker: string, listener: AttemptListener): Attempt {
		const {ctx} = this;
		const attemptId = `${this.deps.hostId}-${++attemptSequence}`;
		this.#isBodyConsumed ||= this.isBodyStreamed;
		return new Attempt(worker, {
			method: ctx.req.method ?? 'GET', path: ctx.path, headers: this.#createHeaders(attemptId), body: this.body, attemptId, isPeer: false,
		}, listener);
	}

	#createHeaders(attemptId: string): string[] {
		this.#requestHeaders ??= createAttemptHeaders(this.ctx, this.isBodyStreamed);
		const remainingMs = Math.max(1, Math.round(this.ctx.deadlineAtMs - this.deps.clock.monotonic()));
		return [...this.#requestHeaders, HeaderName.DeadlineMs, String(remainingMs), HeaderName.Attempt, attemptId];
	}
}
