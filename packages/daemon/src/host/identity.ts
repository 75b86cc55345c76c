/** Identity and location of a host process. */
export type Identity = {
	readonly id: string;
	/** Random id of this run of the process. */
	readonly incarnation: string;
	readonly address: string;
	readonly port: number;
	/** Availability zone. */
	readonly zone: string;
	readonly region: string;
};

/** Returns the id under which an incarnation of a host holds units in the ledger. */
export function holderOf({id, incarnation}: Pick<Identity, 'id' | 'incarnation'>): string {
	return `${id}#${incarnation}`;
}
