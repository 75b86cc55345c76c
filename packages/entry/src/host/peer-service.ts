import {UdpChannel} from '../peer/channel.js';
import {HeartbeatService, type HeartbeatServiceDeps} from '../peer/heartbeat-service.js';
import type {SteeringSource} from '../source.js';
import {Registration} from './registration.js';

/** Dependencies of a `PeerService`. */
export type PeerServiceDeps = Omit<HeartbeatServiceDeps, 'channel'> & {
	readonly source: SteeringSource;
	/** Called when this host is registered in the source. */
	readonly onRegistered: (hasEarlierStart: boolean) => void;
	/** IP addresses of seed hosts, which are contacted while the source is unavailable. */
	readonly seeds: readonly string[];
};

/** What talks to the other hosts: the heartbeats, and the registration by which the hosts learn of each other. */
export class PeerService {
	readonly heartbeats: HeartbeatService;
	readonly registration: Registration;

	constructor(private readonly deps: PeerServiceDeps) {
		const {log, metrics, members, state} = deps;
		this.heartbeats = new HeartbeatService({...deps, channel: new UdpChannel(log, metrics)});
		this.registration = new Registration({
			...deps,
			self: members.self,
			getEpoch: () => state.epoch,
			onFailure: () => {
				this.#contactSeeds();
			},
			onAttempt: () => {
				this.heartbeats.send();
			},
		});
	}

	#contactSeeds(): void {
		const {seeds, members: {self}} = this.deps;
		for (const ip of seeds) {
			if (ip !== self.ip) {
				this.heartbeats.announceTo(ip, self.peerPort);
			}
		}
	}
}
