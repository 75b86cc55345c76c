import type {Buffer} from 'node:buffer';
import type {ExceptionListener} from '@apricotwood/supervisor';
import type {Dispatcher} from 'undici';
import type {ResponseHeaders} from '../dialect.js';

type Controller = Dispatcher.DispatchController;

/** The events of an exchange, as undici reports them. */
export interface ExchangeEvents {
	onRequestStart(controller: Controller): void;
	/** Called at the first byte of each response head. */
	onResponseStarted(): void;
	onResponseStart(controller: Controller, status: number, headers: ResponseHeaders): void;
	onResponseData(controller: Controller, chunk: Buffer): void;
	onResponseEnd(): void;
	onResponseError(controller: Controller | undefined, error: Error): void;
}

/** Passes events on and catches what their handler throws: in some of them, undici lets an exception end the process, in others it takes it for an error of the connection. */
export class GuardedHandler implements Dispatcher.DispatchHandler, ExchangeEvents {
	constructor(private readonly handler: ExchangeEvents, private readonly onException: ExceptionListener) {}

	onRequestStart(controller: Controller): void {
		this.#guard(() => {
			this.handler.onRequestStart(controller);
		});
	}

	onResponseStarted(): void {
		this.#guard(() => {
			this.handler.onResponseStarted();
		});
	}

	onResponseStart(controller: Controller, status: number, headers: ResponseHeaders): void {
		this.#guard(() => {
			this.handler.onResponseStart(controller, status, headers);
		});
	}

	onResponseData(controller: Controller, chunk: Buffer): void {
		this.#guard(() => {
			this.handler.onResponseData(controller, chunk);
		});
	}

	onResponseEnd(): void {
		this.#guard(() => {
			this.handler.onResponseEnd();
		});
	}

	onResponseError(controller: Controller | undefined, error: Error): void {
		this.#guard(() => {
			this.handler.onResponseError(controller, error);
		});
	}

	#guard(callback: () => void): void {
		try {
			callback();
		} catch (error) {
			this.onException(error as Error);
		}
	}
}
