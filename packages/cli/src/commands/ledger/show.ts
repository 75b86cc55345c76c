import {Flags} from '@oclif/core';
import {BaseCommand} from '../../base.js';

type Ledger = {readonly resources: ReadonlyArray<{key: string; limit: number; held: Record<string, number>}>};

/** Prints the ledger: each resource with its limit and holders. */
export default class LedgerShow extends BaseCommand {
	static override description = 'Shows every resource with its limit and the units that each host holds.';
	static override flags = {prefix: Flags.string({description: 'show only resources whose key starts with this prefix, such as worker/', default: ''})};

	async run(): Promise<Ledger> {
		const {flags} = await this.parse(LedgerShow);
		const answer = await this.createClient(flags).get<Ledger>('/v1/ledger');
		const resources = answer.resources.filter(({key}) => key.startsWith(flags.prefix));
		this.printTable(['resource', 'limit', 'held by'], resources.map(({key, limit, held}) => [
			key, limit, Object.entries(held).map(([holder, units]) => `${holder.split('#')[0] ?? holder}=${units}`).join(' '),
		]));
		return {resources};
	}
}
