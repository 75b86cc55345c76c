/** Paths of the HTTP form of the platform's interfaces; bodies are JSON. */
export enum PlatformPath {
	Read = '/table/read',
	Scan = '/table/scan',
	Commit = '/table/commit',
	Put = '/objects/put',
	Get = '/objects/get',
	Hosts = '/hosts/list',
}
