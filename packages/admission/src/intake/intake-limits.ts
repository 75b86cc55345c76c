/** What a process may use of its machine. */
export type ProcessResources = {
	/** Memory of the process, with what the kernel holds for its sockets, bytes. */
	readonly memoryBytes: number;
	/** File descriptors of the process. */
	readonly descriptors: number;
};

/** Parts of the resources that peers of all listeners together may make a process hold. */
export type IntakeShares = {
	/** Part of the memory for bytes of heads and bodies, and of responses that are not taken. @default 0.25 */
	readonly heldBytes: number;
	/** Part of the memory for connections as such. @default 0.15 */
	readonly connectionBytes: number;
	/** Part of the descriptors for connections that peers open; the rest is for those that the process opens itself. @default 0.8 */
	readonly connections: number;
};

export const DEFAULT_INTAKE_SHARES: IntakeShares = {heldBytes: 0.25, connectionBytes: 0.15, connections: 0.8};
/** Resources of a process whose settings name none. */
export const DEFAULT_PROCESS_RESOURCES: ProcessResources = {memoryBytes: 512 * 1024 * 1024, descriptors: 4096};

/** Most that peers may make a process hold. */
export type IntakeLimits = {
	readonly maxHeldBytes: number;
	/** Connections of all listeners together. */
	readonly maxConnections: number;
};

/** Descriptors for files, and for what a process opens in any case. */
const RESERVED_DESCRIPTORS = 200;
/** Memory of one connection that holds nothing else, bytes. */
const CONNECTION_BYTES = 16 * 1024;
/** Least number of connections, however small the machine. */
const MIN_CONNECTIONS = 16;

/** Computes the limits of a process from what it may use. */
export function computeIntakeLimits({memoryBytes, descriptors}: ProcessResources, shares: IntakeShares = DEFAULT_INTAKE_SHARES): IntakeLimits {
	const byDescriptors = (descriptors - RESERVED_DESCRIPTORS) * shares.connections;
	const byMemory = memoryBytes * shares.connectionBytes / CONNECTION_BYTES;
	return {
		maxHeldBytes: memoryBytes * shares.heldBytes,
		maxConnections: Math.max(MIN_CONNECTIONS, Math.floor(Math.min(byDescriptors, byMemory))),
	};
}
