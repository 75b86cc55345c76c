/** Service of the generated workers. */
export const SERVICE = 'board';

/** Creates a worker's entry in the platform's format. @param address `IP:port`. */
export function createWorkerEntry(address: string, sequence: number): Record<string, unknown> {
	return {
		addr: address, born: 1, info: {service: SERVICE, zone: 'a1', version: 'v1', slots: 4}, status: {state: 'ready', sequence, cold_remaining: '0ms'},
	};
}
