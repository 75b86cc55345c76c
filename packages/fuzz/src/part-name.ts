/** Names of the parts of the checker. The values are part of the command. */
export enum PartName {
	Worker = 'worker',
	Rows = 'rows',
}
