import {BaseCommand} from '../../base.js';

type Hosts = {readonly hosts: ReadonlyArray<{id: string; address: string; port: number; region: string; zone: string; phase: string; isUsable: boolean; renewedAtMs: number}>};

/** Lists the entry hosts with their phase and lease. */
export default class HostList extends BaseCommand {
	static override description = 'Lists the entry hosts that have a lease.';

	async run(): Promise<Hosts> {
		const {flags} = await this.parse(HostList);
		const answer = await this.createClient(flags).get<Hosts>('/v1/hosts');
		this.printTable(['host', 'address', 'region', 'zone', 'phase', 'usable', 'lease renewed'], answer.hosts.map(host => [
			host.id, `${host.address}:${host.port}`, host.region, host.zone, host.phase, host.isUsable ? 'yes' : 'no', new Date(host.renewedAtMs).toISOString(),
		]));
		return answer;
	}
}
