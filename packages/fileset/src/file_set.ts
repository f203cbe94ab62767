import type { Resources } from "@laburnumtrack/core/resources";
import {
  EMPTY_FILE_SET,
  type Favour,
  type FileSet,
  type Job,
  type Service,
  type Team,
  type Urgency,
  WorkloadKind,
} from "@laburnumtrack/core/workload";
import { Err, Ok, type Result } from "ts-results";
import {
  type Field,
  NAME_PATTERN,
  readFields,
  type SectionValues,
} from "./field";
import {
  JOB_FIELDS,
  POLICY_FIELDS,
  SERVICE_FIELDS,
  TEAM_FIELDS,
} from "./file_set_fields";
import {
  type FileError,
  readSections,
  type Section,
  type SourceFile,
} from "./ini_sections";

/** Maximum size of a file set, in bytes of UTF-8. */
export const MAX_FILE_SET_BYTES = 4 * 1024 * 1024;

/**
 * Parses and validates a file set. Fails with all errors, sorted by file and
 * line, if there are any.
 */
export function readFileSet(
  sources: readonly SourceFile[],
): Result<FileSet, FileError[]> {
  const builder = new FileSetBuilder();
  for (const source of sources) {
    const { sections, errors } = readSections(source);
    builder.errors.push(...errors);
    for (const section of sections) builder.addSection(section);
  }
  builder.checkTeams();
  builder.checkRoutes();
  const { errors, files } = builder;
  return errors.length > 0 ? Err(errors.sort(compareByPosition)) : Ok(files);
}

function compareByPosition(a: FileError, b: FileError): number {
  if (a.file !== b.file) return a.file < b.file ? -1 : 1;
  return a.line - b.line;
}

class FileSetBuilder {
  readonly errors: FileError[] = [];
  readonly #sectionsByName = new Map<string, Section>();
  readonly #teamReferences: {
    readonly team: string;
    readonly section: Section;
  }[] = [];
  readonly #routes: { readonly route: string; readonly section: Section }[] =
    [];
  readonly #teams = new Map<string, Team>();
  readonly #services = new Map<string, Service>();
  readonly #jobs = new Map<string, Job>();
  #favour: Favour = EMPTY_FILE_SET.favour;

  get files(): FileSet {
    return {
      favour: this.#favour,
      teams: this.#teams,
      services: this.#services,
      jobs: this.#jobs,
    };
  }

  addSection(section: Section): void {
    const [kind = "", name = "", ...rest] = section.name.split(" ");
    if (!this.#claimName(section, kind, name)) return;
    if (kind === "policy" && name === "") {
      this.#favour = this.#read(section, POLICY_FIELDS).text(
        "favour",
      ) as Favour;
      return;
    }
    if (rest.length > 0 || !NAME_PATTERN.test(name)) {
      this.#report(section, "", "a section such as [job NAME]");
      return;
    }
    if (kind === "service") this.#addService(section, name);
    else if (kind === "job") this.#addJob(section, name);
    else if (kind === "team") this.#addTeam(section, name);
    else this.#report(section, "", "[service], [job], [team] or [policy]");
  }

  /** Reports each workload whose team has no section. */
  checkTeams(): void {
    for (const { team, section } of this.#teamReferences) {
      if (this.#teams.has(team)) continue;
      this.#report(section, "team", `a team with a section [team ${team}]`);
    }
  }

  /** Reports each service whose route another service has already. */
  checkRoutes(): void {
    const sectionsByRoute = new Map<string, Section>();
    for (const { route, section } of this.#routes) {
      const earlier = sectionsByRoute.get(route);
      sectionsByRoute.set(route, section);
      if (earlier === undefined) continue;
      const expected = `a route that [${earlier.name}] does not have already`;
      this.#report(section, "route", expected);
    }
  }

  /** Reports a name that is taken already; returns whether it was free. */
  #claimName(section: Section, kind: string, name: string): boolean {
    // Task names contain only the workload's name, not its kind, so a service and
    // a job must not have the same name.
    const scope = kind === "service" || kind === "job" ? "workload" : kind;
    const earlier = this.#sectionsByName.get(`${scope} ${name}`);
    this.#sectionsByName.set(`${scope} ${name}`, section);
    if (earlier === undefined) return true;
    const position = `${earlier.file}:${earlier.line}`;
    this.#report(section, "", `a name not used before (see ${position})`);
    return false;
  }

  #addService(section: Section, name: string): void {
    const values = this.#read(section, SERVICE_FIELDS);
    this.#teamReferences.push({ team: values.text("team"), section });
    this.#routes.push({ route: values.text("route"), section });
    this.#services.set(name, {
      kind: WorkloadKind.Service,
      ...readWorkload(name, values),
      route: values.text("route"),
      replicas: values.number("replicas"),
      latencyTargetMs: values.number("latency_target_ms"),
      deadlineMs: values.number("deadline_ms"),
      slots: values.number("slots"),
      connections: values.number("connections"),
      idempotentPaths: values.list("idempotent_paths"),
    });
  }

  #addJob(section: Section, name: string): void {
    const values = this.#read(section, JOB_FIELDS);
    this.#teamReferences.push({ team: values.text("team"), section });
    const startAfterMs = values.timeMs("start_after");
    const finishByMs = values.timeMs("finish_by");
    if (finishByMs > 0 && finishByMs <= startAfterMs) {
      this.#report(section, "finish_by", "a time later than start_after");
    }
    this.#jobs.set(name, {
      kind: WorkloadKind.Job,
      ...readWorkload(name, values),
      tasks: values.number("tasks"),
      declaredRunS: values.number("run_s"),
      urgency: values.text("urgency") as Urgency,
      retries: values.number("retries"),
      startAfterMs,
      finishByMs,
    });
  }

  #addTeam(section: Section, name: string): void {
    const values = this.#read(section, TEAM_FIELDS);
    this.#teams.set(name, { name, quota: readResources(values) });
  }

  #read(section: Section, fields: readonly Field[]): SectionValues {
    const { values, errors } = readFields(section, fields);
    this.errors.push(...errors);
    return values;
  }

  #report(section: Section, key: string, expected: string): void {
    const line = section.entries.get(key)?.line ?? section.line;
    const { file, name } = section;
    this.errors.push({ file, line, section: name, key, expected });
  }
}

function readWorkload(name: string, values: SectionValues) {
  return {
    name,
    team: values.text("team"),
    work: values.text("work"),
    resources: readResources(values),
  };
}

function readResources(values: SectionValues): Resources {
  return {
    cpuMilli: Math.round(values.number("cpu_cores") * 1000),
    memoryMb: values.number("memory_mb"),
    accelerators: values.number("accelerators"),
  };
}
