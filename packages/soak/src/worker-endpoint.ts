import {FakeWorker, type FakeStore} from '@apricotwood/platform/standin';
import {LinkState} from './proxy.js';
import {WorkerLinks} from './worker-links.js';

/** Start of the paths of requests that crash workers. */
export const CRASHING_PATH = '/read/crash';
/** Processing time of a request at a worker, ms. */
const WORKER_PROCESSING_MS = 25;
/** Time for which a worker runs such a request before it crashes, ms. */
const CRASH_DELAY_MS = 60;

/** Fake worker with its link and its entry in the store. */
export class WorkerEndpoint {
	readonly links: WorkerLinks;
	readonly worker: FakeWorker;
	/** Worker that responds at the address of the link; another worker while the address is reused. */
	servingWorker: FakeWorker;
	/** Whether a fault has withdrawn the worker; a second withdrawal is then skipped. */
	isLeaving = false;
	/** Sent as the start time of the worker. */
	#incarnation = 1;
	/** Last state written to the store; `undefined` while the worker has no entry. */
	#state: 'ready' | 'draining' | undefined;

	/** @param linkIps address of the links of each host. @param onCrash called when the worker crashes. @returns a function that is called when it is back. */
	constructor(readonly id: string, readonly service: string, readonly zone: string, private readonly store: FakeStore, linkIps: readonly string[], onCrash: () => () => void) {
		this.worker = new FakeWorker(id, service, zone);
		this.worker.processingMs = WORKER_PROCESSING_MS;
		this.worker.crashingUrl = CRASHING_PATH;
		this.worker.crashDelayMs = CRASH_DELAY_MS;
		this.worker.onCrash = () => {
			const onRestart = onCrash();
			const endFault = this.links.startFault(LinkState.Refusing);
			this.links.resetConnections();
			return () => {
				endFault();
				// A worker that was withdrawn meanwhile stays so.
				this.#incarnation++;
				this.rewrite();
				onRestart();
			};
		};

		this.servingWorker = this.worker;
		this.links = new WorkerLinks(() => this.servingWorker.address, linkIps);
	}

	async start(): Promise<void> {
		await this.worker.start();
		await this.links.start();
		this.register('ready');
	}

	/** Writes the worker's entry to the store. */
	register(state: 'ready' | 'draining'): void {
		this.#state = state;
		this.store.putWorker(this.id, this.worker.createEntry(state, this.links.address, this.#incarnation));
	}

	unregister(): void {
		this.#state = undefined;
		this.store.deleteWorker(this.id);
	}

	/** Writes the worker's entry, or its removal, again. */
	rewrite(): void {
		if (this.#state) {
			this.register(this.#state);
		} else {
			this.unregister();
		}
	}

	/** Registers the worker as ready with a new start time, so that hosts treat it as restarted. */
	registerNewIncarnation(): void {
		this.#incarnation++;
		this.register('ready');
	}

	async stop(): Promise<void> {
		await this.links.stop();
		await this.worker.stop();
	}
}
