/** Request paths of the platform's HTTP API. All calls are `POST` with JSON bodies. */
export enum PlatformPath {
	Read = '/table/read',
	Scan = '/table/scan',
	Commit = '/table/commit',
	Put = '/objects/put',
	Get = '/objects/get',
	Hosts = '/hosts/list',
}
