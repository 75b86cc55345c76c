/** Listens on a free port of a loopback address. @returns `IP:port`. */
export async function listen(server, ip = '127.0.0.1', port = 0) {
	await new Promise((resolve, reject) => {
		server.once('error', reject);
		server.listen(port, ip, resolve);
	});
	return `${ip}:${server.address().port}`;
}

/** Closes a server and all its connections. */
export async function closeServer(server) {
	server.closeAllConnections?.();
	await new Promise(resolve => {
		server.close(() => {
			resolve();
		});
	});
}
