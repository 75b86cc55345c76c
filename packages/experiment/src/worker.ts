import type {Clock, Random} from '@apricotwood/clock';

export type WorkItem = {
	readonly object: string;
	readonly warmMs: number;
	readonly coldMs: number;
	readonly onDone: (wasWarm: boolean, workMs: number) => void;
};

/** Work takes its usual time, more or less by up to this part. */
const WORK_TIME_SPREAD = 0.3;

/** A worker as the model has it: slots, a queue in order of arrival, and a memory for the objects that it handled last. */
export class SimulatedWorker {
	readonly #queue: WorkItem[] = [];
	readonly #rememberedObjects = new Set<string>();
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

	submit(work: WorkItem): void {
		if (this.#running < this.slots) {
			this.#run(work);
		} else {
			this.#queue.push(work);
		}
	}

	#run({object, warmMs, coldMs, onDone}: WorkItem): void {
		this.#running++;
		const wasWarm = this.#rememberedObjects.has(object);
		const workMs = (wasWarm ? warmMs : coldMs) * (1 + (WORK_TIME_SPREAD * ((2 * this.random.next()) - 1)));
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
		this.#rememberedObjects.delete(object);
		this.#rememberedObjects.add(object);
		if (this.#rememberedObjects.size > this.memory) {
			const [oldest] = this.#rememberedObjects;
			this.#rememberedObjects.delete(oldest!);
		}
	}
}
