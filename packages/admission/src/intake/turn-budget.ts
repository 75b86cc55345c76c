import {setImmediate} from 'node:timers';

/** Work that peers may cause in one turn of the event loop, in chunks of bodies; some tens of ms. */
const CHUNKS_PER_TURN = 10_000;
/** A request costs as much as this number of chunks. */
export const REQUEST_CHUNKS = 10;

/** Bounds what peers make the process do in one turn of the event loop, before anything that it frees is freed. */
export class TurnBudget {
	#spent = 0;
	#isResetDue = false;
	/** Called once in a turn, when its budget is spent. */
	onSpent: () => void = () => {};
	/** Called at the end of such a turn. */
	onRenewed: () => void = () => {};

	/** Counts work, in chunks. */
	spend(chunks: number): void {
		const before = this.#spent;
		this.#spent += chunks;
		if (!this.#isResetDue) {
			this.#isResetDue = true;
			setImmediate(this.#reset);
		}

		if (before < CHUNKS_PER_TURN && this.#spent >= CHUNKS_PER_TURN) {
			this.onSpent();
		}
	}

	readonly #reset = () => {
		const wasSpent = this.#spent >= CHUNKS_PER_TURN;
		this.#spent = 0;
		this.#isResetDue = false;
		if (wasSpent) {
			this.onRenewed();
		}
	};
}
