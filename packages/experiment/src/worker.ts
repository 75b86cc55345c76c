import type {Clock, Random} from '@apricotwood/clock';

export type Work = {
	readonly object: string;
	readonly warmMs: number;
	readonly coldMs: number;
	readonly onDone: (wasWarm: boolean, workMs: number) => void;
};

/** Work takes its usual time, more or less by up to this part. */
const SPREAD = 0.3;

/** A worker as the model has it: slots, a queue in order of arrival, and a memory for the objects that it handled last. */
export class ModelWorker {
	readonly #queue: Work[] = [];
	readonly #memory = new Set<string>();
	#running = 0;

	constructor(
		readonly id: string,
		private readonly slots: number,
		private readonly memory: number,
		private readonly clock: Clock,
		private readonly random: Random,
	) {}

	get running(): number {
		return this.#running;
	}

	get queued(): number {
		return this.#queue.length;
	}

	submit(work: Work): void {
		if (this.#running < this.slots) {
			this.#run(work);
		} else {
			this.#queue.push(work);
		}
	}

	#run({object, warmMs, coldMs, onDone}: Work): void {
		this.#running++;
		const wasWarm = this.#memory.has(object);
		const workMs = (wasWarm ? warmMs : coldMs) * (1 + (SPREAD * ((2 * this.random.next()) - 1)));
		this.clock.after(workMs, () => {
			this.#running--;
			this.#remember(object);
			const next = this.#queue.shift();
			if (next) {
				this.#run(next);
			}

			onDone(wasWarm, workMs);
		});
	}

	#remember(object: string): void {
		this.#memory.delete(object);
		this.#memory.add(object);
		if (this.#memory.size > this.memory) {
			const [oldest] = this.#memory;
			this.#memory.delete(oldest!);
		}
	}
}
