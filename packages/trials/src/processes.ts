// Child processes of the trials: daemons and stand-ins.

import * as childProcess from 'node:child_process';
import * as net from 'node:net';
import * as readline from 'node:readline';
import * as url from 'node:url';

const LISTENING_LINE = /^listening (\d+)$/;

const children = new Set<childProcess.ChildProcess>();

// Child processes are ended with the process that started them.
process.once('exit', () => {
  for (const child of children) child.kill('SIGKILL');
});
for (const signal of ['SIGTERM', 'SIGHUP'] as const) {
  process.once(signal, () => process.exit(1));
}

/** A child process that was started; it may have ended since. */
export interface RunningProcess {
  readonly name: string;
  readonly child: childProcess.ChildProcess;
  /** Resolves to the exit code when the process has ended; null after a signal. */
  readonly exited: Promise<number | null>;
}

/** How to start a process; the callbacks get the lines of its output streams. */
export interface StartOptions {
  readonly name: string;
  readonly script: string;
  readonly args: readonly string[];
  readonly env?: Readonly<Record<string, string>>;
  readonly onLine?: (line: string) => void;
  readonly onErrorLine?: (line: string) => void;
}

/** The path of a built script of a package. */
export function scriptPath(packageName: string, file: string): string {
  const here = new URL('.', import.meta.url);
  const path = `../../${packageName}/dist/${file}`;
  return url.fileURLToPath(new URL(path, here));
}

/** Starts a Node.js process. */
export function start(options: StartOptions): RunningProcess {
  const {name, script, args, env, onLine, onErrorLine} = options;
  const child = childProcess.spawn(process.execPath, [script, ...args], {
    stdio: ['ignore', 'pipe', 'pipe'],
    env: {...process.env, ...env},
  });
  const lines = readline.createInterface({input: child.stdout});
  lines.on('line', line => onLine?.(line));
  const errors = readline.createInterface({input: child.stderr});
  errors.on('line', line => onErrorLine?.(line));
  children.add(child);
  const exited = new Promise<number | null>(resolve => {
    child.once('exit', code => {
      children.delete(child);
      resolve(code);
    });
  });
  return {name, child, exited};
}

/** How to start a stand-in. */
export interface StandInOptions {
  readonly name: string;
  readonly kind: string;
  readonly port: number;
  readonly behaviour: object;
  /** Gets the JSON lines in which the stand-in reports runs and effects. */
  readonly onLine?: (line: string) => void;
}

/** Starts a stand-in and resolves when it listens; rejects when its process ends before. */
export function startStandIn(options: StandInOptions): Promise<RunningProcess> {
  const {name, kind, port, behaviour, onLine} = options;
  return new Promise((resolve, reject) => {
    const errors: string[] = [];
    const started = start({
      name,
      script: scriptPath('standins', 'main.js'),
      args: [kind, String(port), JSON.stringify(behaviour)],
      onLine: line => {
        if (LISTENING_LINE.test(line)) resolve(started);
        else onLine?.(line);
      },
      onErrorLine: line => errors.push(line),
    });
    void started.exited.then(code =>
      reject(
        new Error(
          `expected stand-in ${name} to listen, it exited with ${code}: ${errors.join(' ')}`,
        ),
      ),
    );
  });
}

/** Ports from 10000 to 29999 lie below the usual range for outgoing connections, so that none is taken by one before its process listens. */
const FIRST_PORT = 10_000;
const PORT_BLOCKS = 200;
/** The first port of a block is held by the process that uses the others. */
const PORTS_PER_BLOCK = 100;

/** The ports of this process that were not returned yet. */
const ownPorts: number[] = [];

/** Returns ports on loopback that are free now, were not returned before, and are not used by other runs, also while nothing listens on them. */
export async function freePorts(count: number): Promise<readonly number[]> {
  const ports: number[] = [];
  while (ports.length < count) {
    const port = ownPorts.shift();
    if (port === undefined) await claimBlock();
    else if (await isFree(port)) ports.push(port);
  }
  return ports;
}

/** Claims a block of ports until this process ends. */
async function claimBlock(): Promise<void> {
  for (let i = 0; i < PORT_BLOCKS; i++) {
    const block = (process.pid + i) % PORT_BLOCKS;
    const first = FIRST_PORT + block * PORTS_PER_BLOCK;
    const guard = net.createServer();
    const isClaimed = await new Promise<boolean>(resolve => {
      guard.once('error', () => resolve(false));
      guard.listen(first, '127.0.0.1', () => resolve(true));
    });
    if (!isClaimed) continue;
    guard.unref();
    for (let port = first + 1; port < first + PORTS_PER_BLOCK; port++) {
      ownPorts.push(port);
    }
    return;
  }
  throw new Error('all blocks of ports are in use');
}

function isFree(port: number): Promise<boolean> {
  const server = net.createServer();
  return new Promise(resolve => {
    server.once('error', () => resolve(false));
    server.listen(port, '127.0.0.1', () => server.close(() => resolve(true)));
  });
}
