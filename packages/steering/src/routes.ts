import type {Route, ServiceSpec, SteeringConfig} from './config.js';

/** The routes of one configuration, ready for matching. */
export class RouteTable {
	readonly #byHost = new Map<string, Route[]>();
	readonly #services = new Map<string, ServiceSpec>();

	constructor(readonly config: SteeringConfig) {
		for (const route of config.routes) {
			const routes = this.#byHost.get(route.host);
			if (routes) {
				routes.push(route);
			} else {
				this.#byHost.set(route.host, [route]);
			}
		}

		for (const routes of this.#byHost.values()) {
			routes.sort((a, b) => b.prefix.length - a.prefix.length);
		}

		for (const service of config.services) {
			this.#services.set(service.name, service);
		}
	}

	get version(): number {
		return this.config.version;
	}

	/** The route with the longest prefix of the path; `undefined` when none fits. */
	match(host: string, path: string): Route | undefined {
		for (const route of this.#byHost.get(normalizeHost(host)) ?? []) {
			if (path.startsWith(route.prefix)) {
				return route;
			}
		}

		return undefined;
	}

	getService(name: string): ServiceSpec | undefined {
		return this.#services.get(name);
	}
}

/** A host name in lower case without its port. */
function normalizeHost(host: string): string {
	const port = host.lastIndexOf(':');
	const name = port === -1 || host.endsWith(']') ? host : host.slice(0, port);
	return name.toLowerCase();
}
