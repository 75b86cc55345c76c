import process from 'node:process';
import {SystemClock} from '@apricotwood/clock';
import {FaultyPlatform, PlatformServer} from '@apricotwood/standin';

// Runs the simulated platform in a child process: reports its port to the parent and exits when the parent disconnects.
const server = new PlatformServer(new FaultyPlatform(new SystemClock()));
await server.start();
process.send?.({port: server.port});
process.on('disconnect', () => {
	process.exit();
});
