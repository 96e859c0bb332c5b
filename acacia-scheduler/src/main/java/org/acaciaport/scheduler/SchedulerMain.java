package org.acaciaport.scheduler;

import org.acaciaport.http.JsonClient;
import org.acaciaport.program.Logs;
import org.acaciaport.program.ServerProgram;

/** Main class of the {@code acacia-scheduler} program. */
public final class SchedulerMain {
    private SchedulerMain() {}

    /** Runs the program until it is stopped and exits with its exit code. */
    public static void main(String[] arguments) {
        ServerProgram<SchedulerSettings> program = new ServerProgram<>(
                "acacia-scheduler",
                "Decides where requests run in one data centre.",
                SchedulerSettings.class,
                SchedulerMain::start);
        System.exit(program.run(arguments).code());
    }

    private static Scheduler start(SchedulerSettings settings) throws Exception {
        Logs.configure(settings.log());
        SchedulerModule module = new SchedulerModule(settings, JsonClient.start());
        Scheduler scheduler = DaggerSchedulerComponent.builder()
                .schedulerModule(module)
                .build()
                .scheduler();
        scheduler.start();
        return scheduler;
    }
}
