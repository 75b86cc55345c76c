import type {HostList, ListedAddress, ListedState} from '../platform.js';

/** In-memory host list. */
export class MemoryHostList implements HostList {
	readonly #stateByAddress = new Map<string, ListedState>();

	async list(): Promise<readonly ListedAddress[]> {
		return Array.from(this.#stateByAddress, ([address, state]) => ({address, state}));
	}

	/** Adds or updates an address; removes it when `state` is `undefined`. */
	set(address: string, state: ListedState | undefined): void {
		if (state === undefined) {
			this.#stateByAddress.delete(address);
		} else {
			this.#stateByAddress.set(address, state);
		}
	}
}
