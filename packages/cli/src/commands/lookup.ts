import {Args, Flags} from '@oclif/core';
import {BaseCommand} from '../base.js';

type LookupResponse = {
	readonly version: number;
	readonly ttlMs: number;
	readonly region: string;
	readonly reason: string;
	readonly hosts: ReadonlyArray<{id: string; address: string; port: number; region: string; zone: string; weight: number}>;
	readonly ticket?: string;
};

/** Asks a host what a caller would be told. */
export default class Lookup extends BaseCommand {
	static override description = 'Shows which entry hosts a caller is sent to.';
	static override examples = ['<%= config.bin %> lookup fleet-board --member clubs --addr 127.1.0.9'];
	static override args = {service: Args.string({required: true, description: 'service of the agreement'})};
	static override flags = {
		member: Flags.string({required: true, description: 'member that the caller belongs to'}),
		addr: Flags.string({required: true, description: 'IP number of the caller'}),
	};

	async run(): Promise<LookupResponse> {
		const {args, flags} = await this.parse(Lookup);
		const answer = await this.createClient(flags).get<LookupResponse>('/v1/lookup', {service: args.service, member: flags.member, addr: flags.addr});
		this.log(`region ${answer.region} (${answer.reason}), version ${answer.version}, valid for ${answer.ttlMs} ms`);
		this.printTable(['host', 'address', 'region', 'zone', 'weight'], answer.hosts.map(host => [host.id, `${host.address}:${host.port}`, host.region, host.zone, host.weight]));
		return answer;
	}
}
