package org.acaciaport.node;

import java.util.List;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.concurrent.CountDownLatch;
import org.acaciaport.pool.TargetCommand;
import org.acaciaport.pool.TargetReport;

/** Records the events of a session, which leads all the time. */
final class SessionRecorder implements SessionEvents {
    final List<TargetCommand.Start> notStarted = new CopyOnWriteArrayList<>();
    final CountDownLatch leaseExpired = new CountDownLatch(1);
    volatile long incarnation;
    volatile long lastEnd;
    volatile boolean unresponsive;
    volatile TargetReport firstOfIncarnation;

    @Override
    public void reported(TargetReport report) {
        report.ended().forEach(end -> lastEnd = end.number());
        if (incarnation != report.incarnation()) {
            firstOfIncarnation = report;
            incarnation = report.incarnation();
        }
    }

    @Override
    public void started(TargetCommand.Start start) {}

    @Override
    public void notStarted(TargetCommand.Start start, String reason, long exclusionMillis) {
        notStarted.add(start);
    }

    @Override
    public void startAbsent(TargetCommand.Start start, Runnable resend) {
        resend.run();
    }

    @Override
    public void unresponsive(String target, long exclusionMillis) {
        unresponsive = true;
    }

    @Override
    public void leaseExpired(String target) {
        leaseExpired.countDown();
    }

    @Override
    public void deposed(String target) {}

    @Override
    public boolean isLeading() {
        return true;
    }
}
