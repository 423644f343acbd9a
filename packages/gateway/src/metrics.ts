import * as prom from 'prom-client';

const WAIT_BUCKETS_S = [0.001, 0.005, 0.02, 0.1, 0.25, 0.5, 1, 2.5, 5, 10];

/** Counters, histograms and gauges of a host in the Prometheus text format. */
export class Metrics {
  private readonly registry = new prom.Registry();
  readonly requests = this.counter(
    'banyanhall_requests_total',
    'Requests by route and outcome.',
    ['route', 'outcome'],
  );
  readonly attempts = this.counter(
    'banyanhall_sends_total',
    'Sends to backend servers by service and result.',
    ['service', 'result'],
  );
  readonly retries = this.counter(
    'banyanhall_repeats_total',
    'Sends beyond the first of a request, by service.',
    ['service'],
  );
  readonly restrictedRequests = this.counter(
    'banyanhall_restricted_requests_total',
    'Requests that may use only some regions: first sent in the region of this host (home) or in another one (away).',
    ['served'],
  );
  readonly storeCalls = this.counter(
    'banyanhall_store_calls_total',
    'Calls to the store by call and result.',
    ['call', 'result'],
  );
  readonly storeRestores = this.counter(
    'banyanhall_store_restores_total',
    'Times that the store came back from an older copy.',
    [],
  );
  readonly storeRows = this.counter(
    'banyanhall_store_restored_rows_total',
    'Rows that a restored store has lost, has with another text, or got back, by table.',
    ['table', 'change'],
  );
  readonly storeRewrites = this.counter(
    'banyanhall_store_rewrites_total',
    'Rows of the fleet written again after the store came back from an older copy.',
    ['what'],
  );
  readonly cutRequests = this.counter(
    'banyanhall_cut_requests_total',
    'Requests whose connection this host closed before the answer was out, by cause and stage.',
    ['by', 'stage'],
  );
  readonly slotWaitS = this.histogram(
    'banyanhall_slot_wait_seconds',
    'Time from arrival to a slot on a backend server.',
    ['service'],
  );
  readonly firstByteS = this.histogram(
    'banyanhall_first_byte_seconds',
    'Time from arrival to the first byte of the answer.',
    ['route'],
  );
  readonly limitedSends = this.counter(
    'banyanhall_limited_sends_total',
    'Sends by this host to backend servers that state a limit, by server.',
    ['server'],
  );
  readonly serverLimits = new prom.Gauge({
    name: 'banyanhall_server_limit_per_second',
    help: 'The requests a second that backend servers state to take from all hosts, by server.',
    labelNames: ['server'],
    registers: [this.registry],
  });
  readonly leavingServers = this.counter(
    'banyanhall_leaving_servers_total',
    'Starts of backend servers that stated that they leave.',
    [],
  );
  readonly returnedSlots = this.counter(
    'banyanhall_returned_slots_total',
    'Slots given back as their backend server accepts nothing from this host for a time, by service.',
    ['service'],
  );
  readonly coldServers = new prom.Gauge({
    name: 'banyanhall_cold_servers',
    help: 'Backend servers that are sent less as they are cold.',
    registers: [this.registry],
  });
  readonly coldSends = this.counter(
    'banyanhall_cold_sends_total',
    'Sends by this host to cold backend servers.',
    [],
  );
  readonly coldReturns = this.counter(
    'banyanhall_cold_returns_total',
    'Slots on cold backend servers that this host gave back, as it had sent enough.',
    [],
  );
  readonly callerClosures = this.counter(
    'banyanhall_caller_closures_total',
    'Connections closed, or requests refused before they were read, by cause.',
    ['cause'],
  );
  readonly heldBytes = new prom.Gauge({
    name: 'banyanhall_held_bytes',
    help: 'Bytes held for callers and requests, by class.',
    labelNames: ['class'],
    registers: [this.registry],
  });
  private readonly gauges = new Map<string, prom.Gauge>();

  /** Sets the gauge `banyanhall_<name>`, creating it with the text `help` on first use. */
  setGauge(name: string, help: string, value: number): void {
    const known = this.gauges.get(name);
    const gauge =
      known ??
      new prom.Gauge({
        name: `banyanhall_${name}`,
        help,
        registers: [this.registry],
      });
    this.gauges.set(name, gauge);
    gauge.set(value);
  }

  /** All metrics in the exposition format. */
  text(): Promise<string> {
    return this.registry.metrics();
  }

  private counter(
    name: string,
    help: string,
    labelNames: string[],
  ): prom.Counter {
    return new prom.Counter({
      name,
      help,
      labelNames,
      registers: [this.registry],
    });
  }

  private histogram(
    name: string,
    help: string,
    labelNames: string[],
  ): prom.Histogram {
    return new prom.Histogram({
      name,
      help,
      labelNames,
      buckets: WAIT_BUCKETS_S,
      registers: [this.registry],
    });
  }
}
