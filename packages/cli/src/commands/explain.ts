import {Args, Flags} from '@oclif/core';
import {BaseCommand} from '../base.js';

type Explanation = {
	readonly version: number;
	readonly site?: string;
	readonly home?: string;
	readonly region: string;
	readonly reason: string;
	readonly shift?: string;
	readonly candidates: number;
	readonly hosts: ReadonlyArray<{id: string; zone: string; region: string; weight: number; units: number}>;
};

/** Prints the routing decision for a request. */
export default class Explain extends BaseCommand {
	static override description = 'Explains to which region and hosts a member\'s request from an address would be routed, and why.';
	static override examples = ['<%= config.bin %> explain fleet-board --member clubs --addr 127.1.0.9'];
	static override args = {service: Args.string({required: true, description: 'service of the agreement'})};
	static override flags = {
		member: Flags.string({required: true, description: 'member that the caller belongs to'}),
		addr: Flags.string({required: true, description: 'IP address of the caller'}),
	};

	async run(): Promise<Explanation> {
		const {args, flags} = await this.parse(Explain);
		const answer = await this.createClient(flags).get<Explanation>('/v1/explain', {service: args.service, member: flags.member, addr: flags.addr});
		this.log(answer.site === undefined ? 'no client block covers the address' : `the address is nearest to site ${answer.site} in region ${answer.home ?? '-'}`);
		this.log(`served in ${answer.region} (${answer.reason}${answer.shift === undefined ? '' : `, shift ${answer.shift}`}), ${answer.candidates} hosts hold units, version ${answer.version}`);
		this.printTable(['host', 'zone', 'weight', 'units held'], answer.hosts.map(({id, zone, weight, units}) => [id, zone, Math.round(weight * 1000) / 1000, units]));
		return answer;
	}
}
