import {isDeepStrictEqual} from 'node:util';
import {hashText} from '@apricotwood/routing';
import {RouteTable, type SteeringConfig} from '@apricotwood/steering';
import type {Log} from '@apricotwood/telemetry';
import type {OperationsUpdate} from '../source.js';
import {getEpoch} from './revision.js';

/** How an update of the operations is applied. */
export type OperationsUpdateOptions = {
	/** Whether the update is the first one after the source was restored. */
	readonly isNewEpoch: boolean;
	/** Upper bound of the time since the changes of the update were made, ms; `undefined` for the first update. */
	readonly maxDelayMs: number | undefined;
	/** Time since a peer first announced a change that the data lacked, ms; `undefined` if none has. */
	readonly sinceHeardMs: number | undefined;
	/** Monotonic ms. */
	readonly nowMs: number;
};

/** What an update has changed. */
export type OperationsChange = {
	readonly hasNewConfig: boolean;
	readonly haveZonesChanged: boolean;
};

/**
 * Replica of the operators' data: the configuration and the evacuated zones.
 * Times are monotonic ms.
 *
 * A restored source may lack an evacuation or the configuration in force. The
 * evacuation stays for a grace period, in which the operator writes it again; a
 * configuration is never replaced by an older one.
 */
export class OperationsReplica {
	#routeTable: RouteTable | undefined;
	/** Epoch of the source from which the configuration was read. */
	#configEpoch = 0;
	/** Epoch in which a configuration was last replaced by another one with the same version. */
	#rewrittenEpoch = 0;
	readonly #evacuatedZones = new Set<string>();
	/** Zones whose evacuation a restored source lacks, with the time at which it ends unless it is written again, ms. */
	readonly #unconfirmedZones = new Map<string, number>();
	#fingerprint = 0;

	/** @param rewriteGraceMs time that the operator has to write lost evacuations again. */
	constructor(private readonly log: Log, private readonly rewriteGraceMs: number) {}

	/** Current routes; `undefined` before the first configuration. */
	get table(): RouteTable | undefined {
		return this.#routeTable;
	}

	get evacuatedZones(): ReadonlySet<string> {
		return this.#evacuatedZones;
	}

	get unconfirmedZones(): Iterable<string> {
		return this.#unconfirmedZones.keys();
	}

	/** Hash of the configuration version and the evacuated zones. */
	get fingerprint(): number {
		return this.#fingerprint;
	}

	apply(update: OperationsUpdate, options: OperationsUpdateOptions): OperationsChange {
		const haveZonesChanged = this.#applyZones(update, options);
		const hasNewConfig = update.config !== undefined && this.#applyConfig(update.config, update.revision, options);
		this.#updateFingerprint();
		return {hasNewConfig, haveZonesChanged};
	}

	/** Ends evacuations that a restored source lacks and that were not written again. @returns whether any has ended. */
	sweep(nowMs: number): boolean {
		let hasChanged = false;
		for (const [zone, endMs] of this.#unconfirmedZones) {
			if (endMs <= nowMs) {
				this.#unconfirmedZones.delete(zone);
				hasChanged = this.#evacuatedZones.delete(zone) || hasChanged;
			}
		}

		if (hasChanged) {
			this.#updateFingerprint();
		}

		return hasChanged;
	}

	/** Builds a full snapshot at a revision. */
	buildSnapshot(revision: number): OperationsUpdate {
		return {
			revision, isWhole: true, config: this.#routeTable?.config, evacuate: [...this.#evacuatedZones], restore: [],
		};
	}

	#applyZones({isWhole, evacuate, restore}: OperationsUpdate, {isNewEpoch, nowMs}: OperationsUpdateOptions): boolean {
		const previousZones = this.#formatZones();
		if (isWhole && isNewEpoch) {
			for (const zone of this.#evacuatedZones) {
				this.#unconfirmedZones.set(zone, nowMs + this.rewriteGraceMs);
			}
		} else if (isWhole) {
			this.#clearConfirmedZones();
		}

		for (const zone of restore) {
			this.#unconfirmedZones.delete(zone);
			this.#evacuatedZones.delete(zone);
		}

		for (const zone of evacuate) {
			this.#unconfirmedZones.delete(zone);
			this.#evacuatedZones.add(zone);
		}

		return previousZones !== this.#formatZones();
	}

	#clearConfirmedZones(): void {
		for (const zone of this.#evacuatedZones) {
			if (!this.#unconfirmedZones.has(zone)) {
				this.#evacuatedZones.delete(zone);
			}
		}
	}

	#applyConfig(config: SteeringConfig, revision: number, {maxDelayMs, sinceHeardMs}: OperationsUpdateOptions): boolean {
		if (this.#routeTable && !this.#isReplacement(config, this.#routeTable, revision)) {
			return false;
		}

		this.log.info({
			event: 'config', version: config.version, before: this.#routeTable?.version, routes: config.routes.length, services: config.services.length, revision, maxDelayMs, sinceHeardMs,
		});
		this.#configEpoch = getEpoch(revision);
		this.#routeTable = new RouteTable(config);
		return true;
	}

	/** A restored source may have an older version than the one in force, which then stays, or later another configuration with the same version. */
	#isReplacement(config: SteeringConfig, {version, config: inForce}: RouteTable, revision: number): boolean {
		if (config.version > version) {
			return true;
		}

		if (getEpoch(revision) <= this.#configEpoch) {
			return false;
		}

		if (config.version < version) {
			this.log.warn({event: 'config-lost', inForce: version, stored: config.version, revision});
			return false;
		}

		if (isDeepStrictEqual(config, inForce)) {
			return false;
		}

		this.#rewrittenEpoch = getEpoch(revision);
		return true;
	}

	#updateFingerprint(): void {
		this.#fingerprint = hashText(`${this.#routeTable?.version} ${this.#rewrittenEpoch} ${this.#formatZones()}`);
	}

	#formatZones(): string {
		return [...this.#evacuatedZones].toSorted().join(' ');
	}
}
