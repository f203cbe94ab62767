import { createLogger, type LogLevelString } from "bunyan";

/** Logger of one component; each message is prefixed with `[component]`. */
export class Journal {
  readonly #logger: ReturnType<typeof createLogger>;
  readonly #component: string;

  constructor(logger: ReturnType<typeof createLogger>, component: string) {
    this.#logger = logger;
    this.#component = component;
  }

  /** Returns the logger of another component of the same program. */
  forComponent(component: string): Journal {
    return new Journal(this.#logger, component);
  }

  /** Logs a detail that is needed only to diagnose faults. */
  debug(message: string, fields: object = {}): void {
    this.#logger.debug(fields, this.#format(message));
  }

  /** Logs a change of state. */
  info(message: string, fields: object = {}): void {
    this.#logger.info(fields, this.#format(message));
  }

  /** Logs a condition that needs a look; the message names the likely cause. */
  warn(message: string, fields: object = {}): void {
    this.#logger.warn(fields, this.#format(message));
  }

  /** Logs a fault that an operator has to repair. */
  error(message: string, fields: object = {}): void {
    this.#logger.error(fields, this.#format(message));
  }

  #format(message: string): string {
    return `[${this.#component}] ${message}`;
  }
}

/** Creates a program's logger, which writes JSON lines to standard output. */
export function createJournal(program: string, level: string): Journal {
  const logger = createLogger({
    name: program,
    level: level as LogLevelString,
  });
  return new Journal(logger, program);
}
