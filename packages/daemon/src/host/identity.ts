/** Who this process is. */
export type Identity = {
	readonly id: string;
	/** New at each start of the process. */
	readonly incarnation: string;
	readonly address: string;
	readonly port: number;
	readonly zone: string;
	readonly region: string;
};

/** Names the holder of ledger entries: one incarnation of one host. */
export function holderOf({id, incarnation}: Pick<Identity, 'id' | 'incarnation'>): string {
	return `${id}#${incarnation}`;
}
